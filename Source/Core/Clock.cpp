#include "Core/Clock.h"

#include <ctime>

namespace caraway {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;

Milliseconds readClock(clockid_t clockId)
{
    timespec now = {};
    clock_gettime(clockId, &now);
    return Milliseconds(now.tv_sec * millisecondsPerSecond
                        + now.tv_nsec / nanosecondsPerMillisecond);
}

} // namespace

TimePoint Clock::now() const
{
    if (manual_)
        return TimePoint(Milliseconds(manualNow_));
    return TimePoint(readClock(CLOCK_BOOTTIME));
}

Milliseconds Clock::wallClock()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace caraway
