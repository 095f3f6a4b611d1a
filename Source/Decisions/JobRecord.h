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
    enum class Event { TaskStarted, AllEnded };
    static const BoundChart<JobRecord> &chart();

    /// A caller's request that waits for the job to end.
    struct Waiter
    {
        InstanceId entry;
        RequestId request;
        TimePoint until;
    };

    explicit JobRecord(JobSpec spec);

    const JobSpec &spec() const { return spec_; }
    /// The task at \a index; its events go through handle().
    Task &task(TaskIndex index) { return tasks_.at(index.value()); }
    const std::vector<Task> &tasks() const { return tasks_; }
    bool hasTask(TaskIndex index) const { return index.value() < tasks_.size(); }
    bool isOpen() const { return machine_.isIn(State::Open); }

    /// Raises \a event for a task and, where it follows, for the job.
    Task::Effects handle(TaskIndex index, Task::Event event);
    /// Whether no task waits, runs or may yet run.
    bool isIdle() const { return activeCount_ == 0; }
    /// Whether a task ended in a way that leaves nothing to gain from the others of a gang.
    bool isLost() const { return anyFailed() || anyFateLost(); }
    JobReport report() const;
    const std::string &stateName() const { return machine_.stateName(); }

    /// Adds a waiter, or replaces it when the same request was sent again.
    void addWaiter(Waiter waiter);

    std::vector<Waiter> waiters;
    TimePoint endedAt;
    Milliseconds waited;
    /// A gang that cannot be whole any more is stopped once.
    bool isStopping = false;

private:
    void count(const Task &task, std::ptrdiff_t step);
    bool anyFateLost() const { return unknownCount_ > 0; }
    bool anyFailed() const { return failedCount_ > 0; }
    bool allSucceeded() const { return doneCount_ == std::ssize(tasks_); }
    bool mayHaveRun() const { return mayHaveRun_; }
    JobState state() const;

    JobSpec spec_;
    std::vector<Task> tasks_;
    std::ptrdiff_t activeCount_ = 0;
    std::ptrdiff_t endedCount_ = 0;
    std::ptrdiff_t doneCount_ = 0;
    std::ptrdiff_t failedCount_ = 0;
    std::ptrdiff_t unknownCount_ = 0;
    bool mayHaveRun_ = false;
    Lifecycle<JobRecord> machine_;
};

} // namespace caraway
