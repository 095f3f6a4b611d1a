#include "Duties/TimerDuty.h"

namespace caraway {

TimerDuty::TimerDuty(EventRing &events, Milliseconds interval)
    : events_(events)
    , interval_(interval)
    , thread_([this] { run(); })
{
}

TimerDuty::~TimerDuty()
{
    stop_.stop();
    thread_.join();
}

void TimerDuty::run()
{
    while (stop_.sleepUnlessStopped(interval_))
        events_.offer(Tick {});
}

} // namespace caraway
