#pragma once

#include "Core/Units.h"

#include <condition_variable>
#include <mutex>

namespace caraway {

/// Lets a duty sleep between rounds and wakes it at once when the process stops.
class StopSignal
{
public:
    /// Sleeps for \a duration; false when the process stops.
    bool sleepUnlessStopped(Milliseconds duration);
    void stop();
    bool isStopped() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
};

} // namespace caraway
