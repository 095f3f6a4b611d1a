#include "Decisions/CallBreaker.h"

namespace caraway {

namespace {

constexpr Milliseconds firstProbeDelay(500);
constexpr Milliseconds maxProbeDelay(2000);

} // namespace

const BoundChart<CallBreaker> &CallBreaker::chart()
{
    static const BoundChart<CallBreaker> bound = BoundChart<CallBreaker> {
            "CallBreaker.scxml",
            {"closed", "open", "halfOpen"},
            {"answered", "unanswered", "probeDue"},
            {{"isAtLimit", &CallBreaker::isAtLimit}},
            {{"resetFailures", &CallBreaker::resetFailures},
             {"countFailure", &CallBreaker::countFailure},
             {"scheduleProbe",
              &CallBreaker::scheduleProbe}}}.loadedOrAbort();
    return bound;
}

CallBreaker::CallBreaker(std::uint32_t limit, std::uint64_t seed)
    : limit_(limit)
    , backoff_(firstProbeDelay, maxProbeDelay, seed)
{
}

bool CallBreaker::tryStartProbe(TimePoint now)
{
    now_ = now;
    return now >= probeAt_ && lifecycle_.handle(*this, Event::ProbeDue);
}

void CallBreaker::onAnswered(TimePoint now)
{
    now_ = now;
    lifecycle_.handle(*this, Event::Answered);
}

void CallBreaker::onUnanswered(TimePoint now)
{
    now_ = now;
    lifecycle_.handle(*this, Event::Unanswered);
}

void CallBreaker::resetFailures()
{
    failures_ = 0;
    probes_ = 0;
}

void CallBreaker::scheduleProbe()
{
    probeAt_ = now_ + backoff_.delayAfter(probes_++);
}

} // namespace caraway
