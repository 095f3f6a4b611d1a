#include "Decisions/JobRecord.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

const BoundChart<JobRecord> &JobRecord::chart()
{
    static const BoundChart<JobRecord> bound = BoundChart<JobRecord> {
            "Job.scxml",
            {"open", "queued", "running", "done", "failed", "unknown", "cancelled", "notRun"},
            {"taskStarted", "allTasksFinished"},
            {{"anyOutcomeUnknown", &JobRecord::anyOutcomeUnknown},
             {"anyFailed", &JobRecord::anyFailed},
             {"allSucceeded", &JobRecord::allSucceeded},
             {"mayHaveRun", &JobRecord::mayHaveRun}},
            {}}.loadedOrAbort();
    return bound;
}

JobRecord::JobRecord(JobSpec spec)
    : spec_(std::move(spec))
{
    tasks_.assign(spec_.taskCount, Task(spec_.idempotent));
}

Task::Effects JobRecord::handle(TaskIndex index, Task::Event event)
{
    Task &changed = task(index);
    adjustCounts(changed, -1);
    const Task::Effects effects = changed.handle(event);
    adjustCounts(changed, 1);
    mayHaveRun_ = mayHaveRun_ || changed.mayHaveRun();
    if (changed.isIn(Task::State::Running))
        lifecycle_.handle(*this, Event::TaskStarted);
    if (finishedCount_ == std::ssize(tasks_))
        lifecycle_.handle(*this, Event::AllTasksFinished);
    return effects;
}

void JobRecord::adjustCounts(const Task &task, std::ptrdiff_t change)
{
    if (task.isFinal())
        finishedCount_ += change;
    else if (!task.isIn(Task::State::NotSubmitted))
        activeCount_ += change;
    if (task.isIn(Task::State::Done))
        doneCount_ += change;
    else if (task.isIn(Task::State::Failed))
        failedCount_ += change;
    else if (task.isIn(Task::State::Unknown))
        unknownCount_ += change;
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
        if (task.isIn(Task::State::Done) || task.isIn(Task::State::Failed))
            report.answers.push_back(task.answer);
    }
    if (report.state == JobState::Unknown) {
        report.error
                = Error {ErrorKind::OutcomeUnknown,
                         fmt::format("The outcome of job {} is unknown: its worker was lost, and "
                                     "the job is not idempotent. Check its effects to find out "
                                     "whether it ran.",
                                     spec_.name.value())};
    }
    if (report.state == JobState::Failed) {
        report.error = Error {ErrorKind::TaskFailed,
                              fmt::format("A task of job {} failed and will not be retried. Check "
                                          "its answer, then submit the job under a new name.",
                                          spec_.name.value())};
    }
    return report;
}

JobState JobRecord::state() const
{
    constexpr std::pair<State, JobState> reportedStates[] = {
            {State::Queued, JobState::Queued},       {State::Running, JobState::Running},
            {State::Done, JobState::Done},           {State::Failed, JobState::Failed},
            {State::Cancelled, JobState::Cancelled}, {State::NotRun, JobState::NotRun},
    };
    for (const auto &[chartState, state] : reportedStates) {
        if (lifecycle_.isIn(chartState))
            return state;
    }
    return JobState::Unknown;
}

} // namespace caraway
