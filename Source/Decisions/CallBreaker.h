#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Backoff.h"

namespace caraway {

/// A circuit breaker for the calls to one worker. It opens after a number of consecutive
/// unanswered calls; then it lets through only probes, at intervals, until one is answered.
class CallBreaker
{
public:
    enum class State { Closed, Open, HalfOpen };
    enum class Event { Answered, Unanswered, ProbeDue };
    static const BoundChart<CallBreaker> &chart();

    /// Opens after \a limit consecutive unanswered calls; never if \a limit is 0.
    CallBreaker(std::uint32_t limit, std::uint64_t seed);

    /// Starts a probe if one is due; returns whether the call may be sent as that probe.
    bool tryStartProbe(TimePoint now);
    void onAnswered(TimePoint now);
    void onUnanswered(TimePoint now);

    /// Whether calls other than probes may be sent.
    bool isClosed() const { return lifecycle_.isIn(State::Closed); }

private:
    bool isAtLimit() const { return limit_ > 0 && failures_ + 1 >= limit_; }
    void resetFailures();
    void countFailure() { ++failures_; }
    void scheduleProbe();

    std::uint32_t limit_;
    Backoff backoff_;
    std::uint32_t failures_ = 0;
    std::uint32_t probes_ = 0;
    TimePoint now_;
    TimePoint probeAt_;
    Lifecycle<CallBreaker> lifecycle_;
};

} // namespace caraway
