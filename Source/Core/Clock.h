#pragma once

#include "Core/Units.h"

#include <atomic>
#include <compare>

namespace caraway {

/// A point on the monotonic clock of one process, in milliseconds.
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

/// The clock of the process. It goes on while the process is paused, so that a
/// lease is seen to have expired on waking. Tests construct one that they advance by hand.
class Clock
{
public:
    /// A clock that follows the operating system's boot-time clock.
    Clock() = default;
    /// A clock that stands at \a start until advance() is called.
    explicit Clock(TimePoint start)
        : manual_(true)
        , manualNow_(start.sinceStart().count())
    {
    }

    TimePoint now() const;
    /// Milliseconds since 1970, for people and audit records; decisions never use it.
    static Milliseconds wallClock();
    void advance(Milliseconds step) { manualNow_ += step.count(); }

private:
    bool manual_ = false;
    std::atomic<std::int64_t> manualNow_ = 0;
};

} // namespace caraway
