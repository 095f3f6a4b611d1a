#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Backoff.h"

namespace caraway {

/// A circuit breaker for the calls to one worker. After a number of calls in a row without
/// an answer it lets only a probe through now and then, until one is answered.
class CallBreaker
{
public:
    enum class State { Closed, Open, HalfOpen };
    enum class Event { Answered, Unanswered, ProbeDue };
    static const BoundChart<CallBreaker> &chart();

    /// Opens after \a limit calls in a row without an answer; never when \a limit is 0.
    CallBreaker(std::uint32_t limit, std::uint64_t seed);

    /// Whether a probe may go out now; the first yes begins the probe.
    bool beginProbe(TimePoint now);
    void onAnswered(TimePoint now);
    void onUnanswered(TimePoint now);

    /// Whether calls other than probes may go out.
    bool isClosed() const { return machine_.isIn(State::Closed); }

private:
    bool isAtLimit() const { return limit_ > 0 && failures_ + 1 >= limit_; }
    void forgetFailures();
    void countFailure() { ++failures_; }
    void scheduleProbe();

    std::uint32_t limit_;
    Backoff backoff_;
    std::uint32_t failures_ = 0;
    std::uint32_t probes_ = 0;
    TimePoint now_;
    TimePoint probeAt_;
    Lifecycle<CallBreaker> machine_;
};

} // namespace caraway
