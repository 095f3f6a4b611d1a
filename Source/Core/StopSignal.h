#pragma once

#include "Core/Units.h"

#include <condition_variable>
#include <mutex>

namespace caraway {

/// Interruptible sleep for duties that run at intervals: stop() wakes them at once.
class StopSignal
{
public:
    /// Sleeps for \a duration; returns false, without further delay, once stop() is called.
    bool sleepUnlessStopped(Milliseconds duration);
    void stop();
    bool isStopped() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopped_ = false;
};

} // namespace caraway
