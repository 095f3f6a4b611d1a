#pragma once

#include "Core/Units.h"

#include <string>

namespace caraway {

/// What a task needs, or what a worker has, in each dimension that placement counts.
struct Resources
{
    Millicores processors;
    Bytes memory;
    Accelerators accelerators;
    Slots slots;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }
    friend bool operator==(const Resources &, const Resources &) = default;

    /// Whether this fits into \a room in every dimension.
    bool fitsIn(const Resources &room) const;
    /// Names the first dimension in which this exceeds \a room; empty when it fits.
    std::string firstExcessOver(const Resources &room) const;
    /// How many tasks of this size fit side by side into \a room, up to \a most.
    std::int64_t timesIn(const Resources &room, std::int64_t most) const;
    /// The greatest part that this takes of any dimension of \a whole: the dominant share.
    double dominantShareOf(const Resources &whole) const;
};

} // namespace caraway
