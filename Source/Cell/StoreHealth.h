#pragma once

#include "Cell/StoreCalls.h"

#include <algorithm>

namespace caraway::cell {

/// Judges from the outcomes of calls whether the store serves this instance, and how long to
/// wait before the next attempt. The store may turn one instance away and serve the others.
class StoreHealth
{
public:
    void note(StoreOutcome outcome, TimePoint now)
    {
        if (outcome == StoreOutcome::Refused || outcome == StoreOutcome::Unanswered) {
            ++failures_;
            return;
        }
        failures_ = 0;
        answeredAt_ = now;
    }

    /// Whether a call made now is likely to be answered.
    bool isServing() const { return failures_ < failureLimit; }
    TimePoint answeredAt() const { return answeredAt_; }
    /// Doubles with each failure in a row.
    Milliseconds retryPause() const
    {
        const int doublings = std::min(failures_, mostDoublings);
        return firstPause * (std::int64_t(1) << doublings);
    }

private:
    /// One call may fail by chance, for example on a connection that was reset.
    static constexpr int failureLimit = 2;
    static constexpr Milliseconds firstPause {50};
    /// The longest pause is 400 ms, a fifth of what a change of configuration may take.
    static constexpr int mostDoublings = 3;

    int failures_ = 0;
    TimePoint answeredAt_;
};

} // namespace caraway::cell
