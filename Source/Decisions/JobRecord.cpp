#include "Decisions/JobRecord.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

const BoundChart<JobRecord> &JobRecord::chart()
{
    static const BoundChart<JobRecord> bound = BoundChart<JobRecord> {
            "Job.scxml",
            {"open", "queued", "running", "done", "failed", "unknown", "cancelled", "notRun"},
            {"taskStarted", "allSucceeded", "taskFailed", "taskFateLost", "allDropped"},
            {{"anyTaskRan", &JobRecord::anyTaskRan}},
            {}}.loadedOrAbort();
    return bound;
}

JobRecord::JobRecord(JobSpec spec)
    : spec_(std::move(spec))
{
    tasks_.assign(spec_.taskCount, Task(spec_.idempotent));
}

bool JobRecord::updateFromTasks()
{
    const auto all = [this](Task::State state) {
        return std::ranges::all_of(tasks_, [=](const Task &t) { return t.isIn(state); });
    };
    const auto any = [this](Task::State state) {
        return std::ranges::any_of(tasks_, [=](const Task &t) { return t.isIn(state); });
    };
    if (any(Task::State::Running))
        machine_.handle(*this, Event::TaskStarted);
    if (all(Task::State::Done))
        machine_.handle(*this, Event::AllSucceeded);
    else if (any(Task::State::FailedForGood))
        machine_.handle(*this, Event::TaskFailed);
    else if (any(Task::State::Unknown))
        machine_.handle(*this, Event::TaskFateLost);
    else if (std::ranges::all_of(tasks_, [](const Task &t) { return t.isFinal(); }))
        machine_.handle(*this, Event::AllDropped);
    return !isOpen();
}

void JobRecord::addWaiter(Waiter waiter)
{
    const auto isSame = [&](const Waiter &known) {
        return known.entry == waiter.entry && known.request == waiter.request;
    };
    const auto found = std::ranges::find_if(waiters, isSame);
    if (found == waiters.end())
        waiters.push_back(std::move(waiter));
    else
        *found = std::move(waiter);
}

JobReport JobRecord::report() const
{
    JobReport report;
    report.name = spec_.name;
    report.state = state();
    report.waited = waited;
    for (const Task &task : tasks_) {
        if (task.isIn(Task::State::Done) || task.isIn(Task::State::FailedForGood))
            report.answers.push_back(task.answer);
    }
    if (report.state == JobState::Unknown) {
        report.error
                = Error {ErrorKind::FateUnknown,
                         fmt::format("The worker that ran job {} was lost, and the job may not "
                                     "run twice. Find out from its effects whether it ran.",
                                     spec_.name.value())};
    }
    return report;
}

bool JobRecord::anyTaskRan() const
{
    return std::ranges::any_of(tasks_, [](const Task &task) { return task.everRan(); });
}

JobState JobRecord::state() const
{
    constexpr std::pair<State, JobState> shown[] = {
            {State::Queued, JobState::Queued},       {State::Running, JobState::Running},
            {State::Done, JobState::Done},           {State::Failed, JobState::Failed},
            {State::Cancelled, JobState::Cancelled}, {State::NotRun, JobState::NotRun},
    };
    for (const auto &[own, state] : shown) {
        if (machine_.isIn(own))
            return state;
    }
    return JobState::Unknown;
}

} // namespace caraway
