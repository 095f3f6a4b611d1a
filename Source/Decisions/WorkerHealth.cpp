#include "Decisions/WorkerHealth.h"

namespace caraway {

namespace {

constexpr Milliseconds firstProbeDelay(5000);
constexpr Milliseconds longestProbeDelay(60'000);
/// Tasks in a row that a probed worker must run well.
constexpr std::uint32_t provingSuccesses = 3;

} // namespace

std::optional<TaskOutcome> OutcomeWindow::add(TaskOutcome outcome)
{
    outcomes_.push_back(std::move(outcome));
    if (outcomes_.size() <= size)
        return std::nullopt;
    TaskOutcome oldest = std::move(outcomes_.front());
    outcomes_.pop_front();
    return oldest;
}

const BoundChart<WorkerHealth> &WorkerHealth::chart()
{
    static const BoundChart<WorkerHealth> bound = BoundChart<WorkerHealth> {
            "WorkerHealth.scxml",
            {"healthy", "ejected", "probing"},
            {"succeeded", "failed", "probeDue"},
            {{"isFarWorseAndMayGo", &WorkerHealth::isFarWorseAndMayGo},
             {"hasProvenItself", &WorkerHealth::hasProvenItself}},
            {{"scheduleProbe", &WorkerHealth::scheduleProbe},
             {"countSuccess", &WorkerHealth::countSuccess},
             {"forget", &WorkerHealth::forget}}}.loadedOrAbort();
    return bound;
}

WorkerHealth::WorkerHealth(std::uint64_t seed)
    : backoff_(firstProbeDelay, longestProbeDelay, seed)
{
}

void WorkerHealth::onOutcome(TimePoint now, bool failed, bool isFarWorse, bool mayGo)
{
    now_ = now;
    isFarWorse_ = isFarWorse;
    mayGo_ = mayGo;
    machine_.handle(*this, failed ? Event::Failed : Event::Succeeded);
}

void WorkerHealth::onTick(TimePoint now)
{
    now_ = now;
    if (now >= probeAt_)
        machine_.handle(*this, Event::ProbeDue);
}

WorkAllowance WorkerHealth::allowance() const
{
    if (machine_.isIn(State::Ejected))
        return WorkAllowance::None;
    return machine_.isIn(State::Probing) ? WorkAllowance::OneTask : WorkAllowance::All;
}

bool WorkerHealth::hasProvenItself() const
{
    return successes_ + 1 >= provingSuccesses;
}

void WorkerHealth::scheduleProbe()
{
    successes_ = 0;
    probeAt_ = now_ + backoff_.delayAfter(ejections_++);
}

void WorkerHealth::forget()
{
    ejections_ = 0;
    successes_ = 0;
    window.clear();
}

} // namespace caraway
