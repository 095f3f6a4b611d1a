#pragma once

#include "CellDuties/CellEvents.h"
#include "CellDuties/IoThread.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace caraway::cell {

/// Offers a Tick event to the decisions at a fixed interval.
class TickDuty
{
public:
    /// \a workersServedAt returns Tick::workersServedAt; called on the thread of this duty.
    TickDuty(CellEventRing &events, const Clock &clock, std::function<TimePoint()> workersServedAt)
        : events_(events)
        , clock_(clock)
        , workersServedAt_(std::move(workersServedAt))
        , timer_(thread_.context())
    {
        schedule();
        thread_.start();
    }
    ~TickDuty() { thread_.stop(); }

private:
    /// Commits and broadcasts are batched over about two ticks.
    static constexpr std::chrono::milliseconds tickInterval {25};

    void schedule()
    {
        timer_.expires_after(tickInterval);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            const TimePoint workersServedAt = workersServedAt_();
            events_.offer(CellEvent(Tick {clock_.now(), workersServedAt}));
            schedule();
        });
    }

    CellEventRing &events_;
    const Clock &clock_;
    std::function<TimePoint()> workersServedAt_;
    IoThread thread_;
    boost::asio::steady_timer timer_;
};

} // namespace caraway::cell
