#include "Decisions/WorkerHealth.h"

namespace caraway {

namespace {

constexpr Milliseconds firstProbeDelay(5000);
constexpr Milliseconds maxProbeDelay(60'000);
/// Consecutive successful tasks after which a probed worker is healthy.
constexpr std::uint32_t probationSuccesses = 3;

} // namespace

std::optional<TaskOutcome> OutcomeWindow::add(TaskOutcome outcome)
{
    outcomes_.push_back(std::move(outcome));
    if (outcomes_.size() <= size)
        return std::nullopt;
    TaskOutcome evicted = std::move(outcomes_.front());
    outcomes_.pop_front();
    return evicted;
}

const BoundChart<WorkerHealth> &WorkerHealth::chart()
{
    static const BoundChart<WorkerHealth> bound = BoundChart<WorkerHealth> {
            "WorkerHealth.scxml",
            {"healthy", "ejected", "probing"},
            {"succeeded", "failed", "probeDue"},
            {{"isOutlierAndEjectable", &WorkerHealth::isOutlierAndEjectable},
             {"hasPassedProbation", &WorkerHealth::hasPassedProbation}},
            {{"scheduleProbe", &WorkerHealth::scheduleProbe},
             {"countSuccess", &WorkerHealth::countSuccess},
             {"reset", &WorkerHealth::reset}}}.loadedOrAbort();
    return bound;
}

WorkerHealth::WorkerHealth(std::uint64_t seed)
    : backoff_(firstProbeDelay, maxProbeDelay, seed)
{
}

void WorkerHealth::onOutcome(TimePoint now, bool failed, bool isOutlier, bool mayEject)
{
    now_ = now;
    isOutlier_ = isOutlier;
    mayEject_ = mayEject;
    lifecycle_.handle(*this, failed ? Event::Failed : Event::Succeeded);
}

void WorkerHealth::onTick(TimePoint now)
{
    now_ = now;
    if (now >= probeAt_)
        lifecycle_.handle(*this, Event::ProbeDue);
}

WorkAllowance WorkerHealth::allowance() const
{
    if (lifecycle_.isIn(State::Ejected))
        return WorkAllowance::None;
    return lifecycle_.isIn(State::Probing) ? WorkAllowance::OneTask : WorkAllowance::All;
}

bool WorkerHealth::hasPassedProbation() const
{
    return successes_ + 1 >= probationSuccesses;
}

void WorkerHealth::scheduleProbe()
{
    successes_ = 0;
    probeAt_ = now_ + backoff_.delayAfter(ejections_++);
}

void WorkerHealth::reset()
{
    ejections_ = 0;
    successes_ = 0;
    window.clear();
}

} // namespace caraway
