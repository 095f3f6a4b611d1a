#include "Core/ProcessorStopwatch.h"

#include <ctime>

namespace caraway {

namespace {

Microseconds processorTime()
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    constexpr std::int64_t nanosecondsPerMicrosecond = 1000;
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return Microseconds(time.tv_sec * microsecondsPerSecond
                        + time.tv_nsec / nanosecondsPerMicrosecond);
}

} // namespace

ProcessorStopwatch::ProcessorStopwatch()
    : startedAt_(processorTime())
{
}

Microseconds ProcessorStopwatch::elapsed() const
{
    return processorTime() - startedAt_;
}

} // namespace caraway
