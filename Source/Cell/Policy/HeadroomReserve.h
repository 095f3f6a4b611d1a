#pragma once

#include "Cell/CellWorker.h"
#include "Cell/JobSpec.h"

#include <concepts>
#include <map>

namespace caraway::cell {

/// Which workers are kept free of less urgent work.
template<class Headroom>
concept HeadroomPolicy
        = requires(Headroom headroom, const Headroom &constHeadroom, std::int64_t priority,
                   Millicores need, Milliseconds duration, TimePoint now)
{
    headroom.noteArrival(priority, need, duration, now);
    {
        constHeadroom.wanted(now)
        } -> std::same_as<Millicores>;
};

/// The baseline: nothing is kept.
struct NoHeadroom
{
    static void noteArrival(std::int64_t /*priority*/, Millicores /*need*/,
                            Milliseconds /*duration*/, TimePoint /*now*/)
    {
    }
    static Millicores wanted(TimePoint /*now*/) { return {}; }
};

/// Keeps as many processors for the most urgent work as its arrivals of the last seconds keep
/// busy, and a margin. Answers a fleet that patient work fills: urgent tasks are short, and
/// would otherwise wait for room that the next patient task takes first.
class ArrivalHeadroom
{
public:
    /// A task of \a priority that takes \a need for \a duration arrived.
    void noteArrival(std::int64_t priority, Millicores need, Milliseconds duration, TimePoint now);
    /// Processors to keep for the most urgent work.
    Millicores wanted(TimePoint now) const;

private:
    /// Forgets what arrived long before the window.
    double decayed(TimePoint now) const;

    /// Work that arrived, in millicore-milliseconds, weighted by age.
    double work_ = 0;
    TimePoint updatedAt_;
};

static_assert(HeadroomPolicy<NoHeadroom> && HeadroomPolicy<ArrivalHeadroom>);

} // namespace caraway::cell
