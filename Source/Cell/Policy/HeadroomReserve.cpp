#include "Cell/Policy/HeadroomReserve.h"

#include <cmath>

namespace caraway::cell {

namespace {

/// A flood shows within a second or two.
constexpr double windowMs = 1500;
/// Beyond the mean, as arrivals come in bunches.
constexpr double margin = 1.3;
constexpr std::int64_t mostUrgent = 0;

} // namespace

double ArrivalHeadroom::decayed(TimePoint now) const
{
    const auto age = static_cast<double>((now - updatedAt_).count());
    return work_ * std::exp(-age / windowMs);
}

void ArrivalHeadroom::noteArrival(std::int64_t priority, Millicores need, Milliseconds duration,
                                  TimePoint now)
{
    if (priority != mostUrgent)
        return;
    work_ = decayed(now)
            + static_cast<double>(need.count()) * static_cast<double>(duration.count());
    updatedAt_ = now;
}

Millicores ArrivalHeadroom::wanted(TimePoint now) const
{
    return Millicores(std::llround(decayed(now) / windowMs * margin));
}

} // namespace caraway::cell
