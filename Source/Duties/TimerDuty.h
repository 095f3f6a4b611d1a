#pragma once

#include "Core/StopSignal.h"
#include "Duties/Rings.h"

#include <thread>

namespace caraway {

/// Sends a Tick to the decisions at a fixed interval.
class TimerDuty
{
public:
    TimerDuty(EventRing &events, Milliseconds interval);
    ~TimerDuty();

private:
    void run();

    EventRing &events_;
    Milliseconds interval_;
    StopSignal stop_;
    std::thread thread_;
};

} // namespace caraway
