#pragma once

#include "Core/Units.h"

#include <atomic>
#include <compare>

namespace caraway {

/// A time on the monotonic clock, in milliseconds; comparable only within one process.
class TimePoint
{
public:
    constexpr TimePoint() = default;
    constexpr explicit TimePoint(Milliseconds sinceStart)
        : sinceStart_(sinceStart)
    {
    }

    constexpr Milliseconds sinceStart() const { return sinceStart_; }

    friend constexpr TimePoint operator+(TimePoint t, Milliseconds d)
    {
        return TimePoint(t.sinceStart_ + d);
    }
    friend constexpr TimePoint operator-(TimePoint t, Milliseconds d)
    {
        return TimePoint(t.sinceStart_ - d);
    }
    friend constexpr Milliseconds operator-(TimePoint a, TimePoint b)
    {
        return a.sinceStart_ - b.sinceStart_;
    }
    friend constexpr auto operator<=>(TimePoint, TimePoint) = default;

private:
    Milliseconds sinceStart_;
};

/// The monotonic clock of the process. It advances while the process or the machine is
/// suspended, so that a lease that expired meanwhile is detected on resume. Tests use a
/// manual clock.
class Clock
{
public:
    /// Reads the operating system's boot-time clock (CLOCK_BOOTTIME).
    Clock() = default;
    /// A manual clock that starts at \a start and moves only by advance().
    explicit Clock(TimePoint start)
        : manual_(true)
        , manualNow_(start.sinceStart().count())
    {
    }

    TimePoint now() const;
    /// Milliseconds since 1970 (UTC), for display, stored times, incarnation numbers and the
    /// start times of recurring jobs; leases and timeouts never use it.
    static Milliseconds wallClock();
    void advance(Milliseconds step) { manualNow_ += step.count(); }

private:
    bool manual_ = false;
    std::atomic<std::int64_t> manualNow_ = 0;
};

} // namespace caraway
