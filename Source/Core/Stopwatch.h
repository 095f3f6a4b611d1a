#pragma once

#include "Core/Units.h"

namespace caraway {

/// Measures elapsed time at a finer resolution than the milliseconds of Clock.
class Stopwatch
{
public:
    Stopwatch();
    /// Seconds since construction.
    double seconds() const;
    Microseconds elapsed() const;

private:
    std::int64_t startedAtNs_;
};

} // namespace caraway
