#include "Core/Stopwatch.h"

#include <chrono>

namespace caraway {

namespace {

std::int64_t nowNs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

} // namespace

Stopwatch::Stopwatch()
    : startedAtNs_(nowNs())
{
}

double Stopwatch::seconds() const
{
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(nowNs() - startedAtNs_) / nanosecondsPerSecond;
}

Microseconds Stopwatch::elapsed() const
{
    constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
    return Microseconds((nowNs() - startedAtNs_) / nanosecondsPerMicrosecond);
}

} // namespace caraway
