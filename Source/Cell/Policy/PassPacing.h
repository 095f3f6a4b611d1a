#pragma once

#include "Core/Clock.h"

#include <algorithm>
#include <concepts>

namespace caraway::cell {

/// When the next scheduling pass may run; the events in between are handled by one pass.
template<class Pacing>
concept PassPacing
        = std::constructible_from<Pacing, Millicores> && requires(Pacing pacing,
                                                                  const Pacing &constPacing,
                                                                  TimePoint at, Microseconds time)
{
    pacing.recordStart(at);
    pacing.recordTime(at, time);
    {
        constPacing.nextPass()
        } -> std::same_as<TimePoint>;
};

/// A pass begins a fixed time after the one before.
class FixedPacing
{
public:
    /// \a processors are those of this instance.
    explicit FixedPacing(Millicores /*processors*/) { }

    void recordStart(TimePoint startedAt) { nextPass_ = startedAt + minInterval; }
    void recordTime(TimePoint /*endedAt*/, Microseconds /*time*/) { }
    TimePoint nextPass() const { return nextPass_; }

private:
    static constexpr Milliseconds minInterval {15};

    TimePoint nextPass_;
};

static_assert(PassPacing<FixedPacing>);

} // namespace caraway::cell
