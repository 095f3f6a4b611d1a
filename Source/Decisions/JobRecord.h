#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Job.h"
#include "Decisions/Task.h"

#include <cstddef>
#include <iterator>
#include <vector>

namespace caraway {

/// A job that this instance owns as the holder of its shard.
class JobRecord
{
public:
    enum class State { Open, Queued, Running, Done, Failed, Unknown, Cancelled, NotRun };
    enum class Event { TaskStarted, AllTasksFinished };
    static const BoundChart<JobRecord> &chart();

    /// A caller's request that waits for the job to finish.
    struct Waiter
    {
        InstanceId entry;
        RequestId request;
        TimePoint until;
    };

    explicit JobRecord(JobSpec spec);

    const JobSpec &spec() const { return spec_; }
    /// The task at \a index. Its events must go through handle().
    Task &task(TaskIndex index) { return tasks_.at(index.value()); }
    const std::vector<Task> &tasks() const { return tasks_; }
    bool hasTask(TaskIndex index) const { return index.value() < tasks_.size(); }
    bool isOpen() const { return lifecycle_.isIn(State::Open); }

    /// Handles \a event for a task, and the job event that results from it, if any.
    Task::Effects handle(TaskIndex index, Task::Event event);
    /// Whether no task is queued, running or may still run.
    bool isIdle() const { return activeCount_ == 0; }
    /// Whether a task failed or has an unknown outcome, so that a gang can no longer succeed.
    bool cannotSucceed() const { return anyFailed() || anyOutcomeUnknown(); }
    JobReport report() const;
    const std::string &stateName() const { return lifecycle_.stateName(); }

    /// Adds a waiter, or replaces the one of the same request if that was sent again.
    void addWaiter(Waiter waiter);

    std::vector<Waiter> waiters;
    TimePoint finishedAt;
    Milliseconds waited;
    /// Whether the rest of a gang that can no longer succeed has been stopped.
    bool isStopping = false;

private:
    /// Adds \a change to the counts for the state of \a task.
    void adjustCounts(const Task &task, std::ptrdiff_t change);
    bool anyOutcomeUnknown() const { return unknownCount_ > 0; }
    bool anyFailed() const { return failedCount_ > 0; }
    bool allSucceeded() const { return doneCount_ == std::ssize(tasks_); }
    bool mayHaveRun() const { return mayHaveRun_; }
    JobState state() const;

    JobSpec spec_;
    std::vector<Task> tasks_;
    std::ptrdiff_t activeCount_ = 0;
    std::ptrdiff_t finishedCount_ = 0;
    std::ptrdiff_t doneCount_ = 0;
    std::ptrdiff_t failedCount_ = 0;
    std::ptrdiff_t unknownCount_ = 0;
    bool mayHaveRun_ = false;
    Lifecycle<JobRecord> lifecycle_;
};

} // namespace caraway
