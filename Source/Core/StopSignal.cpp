#include "Core/StopSignal.h"

#include <chrono>

namespace caraway {

bool StopSignal::sleepUnlessStopped(Milliseconds duration)
{
    std::unique_lock lock(mutex_);
    return !stopCondition_.wait_for(lock, std::chrono::milliseconds(duration.count()),
                                    [this] { return stopped_; });
}

void StopSignal::stop()
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    stopCondition_.notify_all();
}

bool StopSignal::isStopped() const
{
    const std::lock_guard lock(mutex_);
    return stopped_;
}

} // namespace caraway
