#pragma once

#include "Core/Units.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace caraway {

/// Exponential backoff with jitter: the delay doubles from \a first up to \a maxDelay, and is
/// drawn at random between half of it and all of it. The same seed gives the same delays.
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds maxDelay, std::uint64_t seed)
        : first_(first)
        , maxDelay_(maxDelay)
        , generator_(seed)
    {
    }

    /// The delay before the next attempt after \a failures failed ones.
    Milliseconds delayAfter(std::uint32_t failures)
    {
        constexpr std::uint32_t maxDoublings = 20;
        const std::uint32_t doublings = std::min(failures, maxDoublings);
        const std::int64_t delay = std::min(first_.count() << doublings, maxDelay_.count());
        const std::int64_t half = delay / 2;
        const auto jitterRange = static_cast<std::uint64_t>(delay - half + 1);
        return Milliseconds(half + static_cast<std::int64_t>(generator_() % jitterRange));
    }

private:
    Milliseconds first_;
    Milliseconds maxDelay_;
    std::mt19937_64 generator_;
};

} // namespace caraway
