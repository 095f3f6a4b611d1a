#pragma once

#include <cstdint>

namespace caraway {

/// Measures how long something took, finer than the clock's milliseconds; for metrics only.
class Stopwatch
{
public:
    Stopwatch();
    double seconds() const;

private:
    std::int64_t startedAtNs_;
};

} // namespace caraway
