#pragma once

#include "Core/Units.h"

#include <string>

namespace caraway {

/// The resources that a task needs or a worker has, in each dimension that placement considers.
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
    friend Resources operator*(const Resources &a, std::int64_t n)
    {
        return {a.processors * n, a.memory * n, a.accelerators * n, a.slots * n};
    }
    friend bool operator==(const Resources &, const Resources &) = default;

    /// Whether this is at most \a capacity in every dimension.
    bool fitsIn(const Resources &capacity) const
    {
        return processors <= capacity.processors && memory <= capacity.memory
                && accelerators <= capacity.accelerators && slots <= capacity.slots;
    }
    /// The name of the first dimension in which this exceeds \a capacity; empty if there is none.
    std::string firstExceededDimension(const Resources &capacity) const;
    /// How many tasks of this size fit into \a capacity at the same time, at most \a most.
    std::int64_t timesIn(const Resources &capacity, std::int64_t most) const;
    /// The dominant share: the maximum over all dimensions of the share that this has of \a whole.
    double dominantShareOf(const Resources &whole) const;
};

} // namespace caraway
