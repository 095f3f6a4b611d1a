#pragma once

#include "Cell/CellWorker.h"
#include "Cell/JobSpec.h"

#include <concepts>
#include <map>

namespace caraway::cell {

/// How many processors are reserved for urgent work.
template<class Headroom>
concept HeadroomPolicy
        = requires(Headroom headroom, const Headroom &constHeadroom, std::int64_t priority,
                   Millicores need, Milliseconds duration, TimePoint now)
{
    headroom.recordArrival(priority, need, duration, now);
    {
        constHeadroom.reservedProcessors(now)
        } -> std::same_as<Millicores>;
};

/// The baseline: reserves nothing.
struct NoHeadroom
{
    static void recordArrival(std::int64_t /*priority*/, Millicores /*need*/,
                              Milliseconds /*duration*/, TimePoint /*now*/)
    {
    }
    static Millicores reservedProcessors(TimePoint /*now*/) { return {}; }
};

/// Reserves as many processors for the most urgent work as its arrivals of the last seconds use,
/// and a margin. Meant for a fleet that is fully used by less urgent work: short urgent tasks would
/// otherwise wait, because queued tasks of the other work use any capacity as soon as it is free.
class ArrivalHeadroom
{
public:
    /// Records a task of \a priority that uses \a need for \a duration.
    void recordArrival(std::int64_t priority, Millicores need, Milliseconds duration,
                       TimePoint now);
    /// Processors to reserve for the most urgent work.
    Millicores reservedProcessors(TimePoint now) const;

private:
    /// The sum at \a now, with each arrival weighted down by its age.
    double decayed(TimePoint now) const;

    /// Decayed sum of the work that arrived, in millicore-milliseconds.
    double work_ = 0;
    TimePoint updatedAt_;
};

static_assert(HeadroomPolicy<NoHeadroom> && HeadroomPolicy<ArrivalHeadroom>);

} // namespace caraway::cell
