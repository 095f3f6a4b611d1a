#pragma once

#include "Cell/StoreCalls.h"

#include <algorithm>

namespace caraway::cell {

/// Infers from the outcomes of calls whether the store serves this instance, and the delay before
/// a retry. The store may refuse one instance and serve the others.
class StoreHealth
{
public:
    void record(StoreOutcome outcome, TimePoint now)
    {
        if (outcome == StoreOutcome::Refused || outcome == StoreOutcome::Unanswered) {
            ++failures_;
            return;
        }
        failures_ = 0;
        lastAnswerAt_ = now;
    }

    /// Whether a call is likely to be answered now.
    bool isServing() const { return failures_ < failureLimit; }
    TimePoint lastAnswerAt() const { return lastAnswerAt_; }
    /// Delay before the next attempt; doubles with each consecutive failure.
    Milliseconds retryDelay() const
    {
        const int doublings = std::min(failures_, maxDoublings);
        return firstRetryDelay * (std::int64_t(1) << doublings);
    }

private:
    /// A single call may fail for other reasons, for example because its connection was reset.
    static constexpr int failureLimit = 2;
    static constexpr Milliseconds firstRetryDelay {50};
    /// Limits the delay to 400 ms, a fifth of the time in which a configuration change has to be in
    /// force.
    static constexpr int maxDoublings = 3;

    int failures_ = 0;
    TimePoint lastAnswerAt_;
};

} // namespace caraway::cell
