#pragma once

#include "Cell/CellTask.h"
#include "Cell/JobSpec.h"
#include "Cell/StepApprovals.h"

#include <span>

namespace caraway::cell {

/// One step of one repetition of a job, while the job lives.
struct CellStep
{
    StepKey key;
    StepSpec spec;
    WallTime due;
    std::vector<CellTask> tasks;
    StepApprovals approvals;
    /// When all steps before it had succeeded; nothing before that.
    std::optional<TimePoint> readySince;
    std::size_t doneTasks = 0;
    /// Failed runs of the whole gang.
    std::set<RunNumber> failedGangRuns;
    std::string gangCheckpoint;

    bool isDone() const { return doneTasks == tasks.size(); }
    std::size_t count(CellTask::State state) const;
    TaskKey taskKey(std::size_t index) const
    {
        return {key.job, key.occurrence, key.step, TaskIndex(index)};
    }
};

/// An accepted job, as its holder follows it.
class CellJob
{
public:
    CellJob(AcceptedJob accepted, const JobProgress &progress, TimePoint now);

    const AcceptedJob &accepted() const { return accepted_; }
    const JobId &id() const { return accepted_.spec.id; }
    std::vector<CellStep> &steps() { return steps_; }
    const std::vector<CellStep> &steps() const { return steps_; }
    CellStep *step(Occurrence occurrence, StepIndex index);
    TimePoint arrivedAt() const { return arrivedAt_; }
    /// How long one repetition takes at least, by the caller's estimates.
    Milliseconds longestChain() const { return longestChain_; }
    /// The steps of one repetition, in their order.
    std::span<const CellStep> stepsOf(Occurrence occurrence) const;

    JobState state() const { return state_; }
    bool hasBegun() const { return begun_; }
    /// A task was started or found; true the first time.
    bool begin();
    /// The job is over: its tasks are withdrawn.
    void finish(JobState state);
    bool hasTasksOnWorkers() const;
    bool isDone() const;
    /// Steps whose predecessors have all succeeded become ready.
    void updateReadiness(TimePoint now, WallTime wallTime);
    JobProgress progress() const;

private:
    bool arePredecessorsDone(const CellStep &step) const;
    void restore(const JobProgress &progress);

    AcceptedJob accepted_;
    std::vector<CellStep> steps_;
    TimePoint arrivedAt_;
    Milliseconds longestChain_;
    JobState state_ = JobState::Pending;
    bool begun_ = false;
};

} // namespace caraway::cell
