#pragma once

#include "Cell/CellTask.h"
#include "Cell/JobSpec.h"
#include "Cell/StepApprovals.h"

#include <span>

namespace caraway::cell {

/// One step of one repetition of an unfinished job.
struct CellStep
{
    StepKey key;
    StepSpec spec;
    WallTime due;
    TaskCounts counts;
    std::vector<CellTask> tasks;
    StepApprovals approvals;
    /// When the step became ready: due, with all its dependencies succeeded; nothing before that.
    std::optional<TimePoint> readySince;
    std::size_t doneTasks = 0;
    /// Runs in which a member of the gang failed.
    std::set<RunNumber> failedGangRuns;
    std::string gangCheckpoint;
    /// The run whose stop produced gangCheckpoint.
    std::optional<RunNumber> gangCheckpointOfStop;

    bool isDone() const { return doneTasks == tasks.size(); }
    /// Whether the step has started or been attempted in this term.
    bool hasBegun() const;
    /// Whether nothing of the step may start at \a wallTime. The time of day may have been ahead
    /// before; a step that has begun is due all the same.
    bool isEarly(WallTime wallTime) const { return wallTime < due && !hasBegun(); }
    std::size_t countTasks(CellTask::State state) const;
    TaskKey taskKey(std::size_t index) const
    {
        return {key.job, key.occurrence, key.step, TaskIndex(index)};
    }
};

/// The minimum duration of one repetition, by the caller's estimates.
Milliseconds criticalPathOf(const JobSpec &spec);
/// The objective for the duration of a job with this critical path.
Milliseconds objectiveOf(const Queue &queue, Milliseconds criticalPath);

/// An accepted job and its progress, as the holder schedules it.
class CellJob
{
public:
    CellJob(AcceptedJob accepted, const JobProgress &progress, TimePoint now);
    // The tasks refer to the counts of their steps.
    CellJob(const CellJob &) = delete;
    CellJob &operator=(const CellJob &) = delete;

    /// Whether the store may contain progress of the job.
    bool hasProgressRecord = false;
    AccountNumber account;
    /// Whether the job exceeds the rate at which its account may submit.
    bool isSurplus = false;

    const AcceptedJob &accepted() const { return accepted_; }
    const JobId &id() const { return accepted_.spec.id; }
    std::vector<CellStep> &steps() { return steps_; }
    const std::vector<CellStep> &steps() const { return steps_; }
    CellStep *step(Occurrence occurrence, StepIndex index);
    TimePoint arrivedAt() const { return arrivedAt_; }
    /// The minimum duration of one repetition, by the caller's estimates: the critical path of its
    /// steps.
    Milliseconds criticalPath() const { return criticalPath_; }
    /// The steps of one repetition, in the order of the job.
    std::span<const CellStep> stepsOf(Occurrence occurrence) const;

    JobState state() const { return state_; }
    bool hasStarted() const { return started_; }
    /// Records that a task was started or discovered; returns true on the first call.
    bool markStarted();
    /// Ends the job in the final \a state and withdraws its tasks.
    void finish(JobState state);
    bool hasTasksOnWorkers() const;
    /// Whether a worker crashed under a run of a task.
    bool hasCrashes() const;
    bool isDone() const;
    /// Marks the steps as ready that are due and whose dependencies have all succeeded.
    void updateReadiness(TimePoint now, WallTime wallTime);
    /// The steps that have become due since the last call, whether or not their dependencies have
    /// succeeded.
    std::span<const CellStep> takeDueSteps(WallTime wallTime);
    /// The progress to store.
    JobProgress progress() const;

private:
    bool areDependenciesDone(const CellStep &step) const;
    void restore(const JobProgress &progress);

    AcceptedJob accepted_;
    std::vector<CellStep> steps_;
    /// The number of steps that takeDueSteps() has returned.
    std::size_t dueSteps_ = 0;
    TimePoint arrivedAt_;
    Milliseconds criticalPath_;
    JobState state_ = JobState::Pending;
    bool started_ = false;
};

} // namespace caraway::cell
