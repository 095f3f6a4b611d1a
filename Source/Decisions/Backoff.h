#pragma once

#include "Core/Units.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace caraway {

/// Delays that double from \a first to \a most, each drawn at random between half of itself
/// and the whole. The same seed gives the same delays.
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds most, std::uint64_t seed)
        : first_(first)
        , most_(most)
        , generator_(seed)
    {
    }

    /// The delay before the try that follows \a failures failed ones.
    Milliseconds delayAfter(std::uint32_t failures)
    {
        constexpr std::uint32_t maxDoublings = 20;
        const std::uint32_t doublings = std::min(failures, maxDoublings);
        const std::int64_t whole = std::min(first_.count() << doublings, most_.count());
        const std::int64_t half = whole / 2;
        const auto spread = static_cast<std::uint64_t>(whole - half + 1);
        return Milliseconds(half + static_cast<std::int64_t>(generator_() % spread));
    }

private:
    Milliseconds first_;
    Milliseconds most_;
    std::mt19937_64 generator_;
};

} // namespace caraway
