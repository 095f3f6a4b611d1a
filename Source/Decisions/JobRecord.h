#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Job.h"
#include "Decisions/Task.h"

#include <vector>

namespace caraway {

/// A job that this instance owns as the holder of its shard.
class JobRecord
{
public:
    enum class State { Open, Queued, Running, Done, Failed, Unknown, Cancelled, NotRun };
    enum class Event { TaskStarted, AllSucceeded, TaskFailed, TaskFateLost, AllDropped };
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
    Task &task(TaskIndex index) { return tasks_.at(index.value()); }
    std::vector<Task> &tasks() { return tasks_; }
    bool hasTask(TaskIndex index) const { return index.value() < tasks_.size(); }
    bool isOpen() const { return machine_.isIn(State::Open); }

    /// Raises the event that follows from the states of the tasks; true when the job ended.
    bool updateFromTasks();
    JobReport report() const;
    const std::string &stateName() const { return machine_.stateName(); }

    /// Adds a waiter, or replaces it when the same request was sent again.
    void addWaiter(Waiter waiter);

    std::vector<Waiter> waiters;
    TimePoint endedAt;
    Milliseconds waited;

private:
    bool anyTaskRan() const;
    JobState state() const;

    JobSpec spec_;
    std::vector<Task> tasks_;
    Lifecycle<JobRecord> machine_;
};

} // namespace caraway
