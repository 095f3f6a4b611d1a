#include "Cell/Policy/HeadroomPolicy.h"

#include <cmath>

namespace caraway::cell {

namespace {

/// Short enough that a rise in the arrival rate takes effect within one or two seconds.
constexpr double decayTimeMs = 1500;
/// Factor on the mean, as arrivals are bursty.
constexpr double burstMargin = 1.3;
constexpr std::int64_t mostUrgentPriority = 0;

} // namespace

double ArrivalHeadroom::decayed(TimePoint now) const
{
    const auto age = static_cast<double>((now - updatedAt_).count());
    return work_ * std::exp(-age / decayTimeMs);
}

void ArrivalHeadroom::recordArrival(std::int64_t priority, Millicores need, Milliseconds duration,
                                    TimePoint now)
{
    if (priority != mostUrgentPriority)
        return;
    work_ = decayed(now)
            + static_cast<double>(need.count()) * static_cast<double>(duration.count());
    updatedAt_ = now;
}

Millicores ArrivalHeadroom::reservedProcessors(TimePoint now) const
{
    return Millicores(std::llround(decayed(now) / decayTimeMs * burstMargin));
}

} // namespace caraway::cell
