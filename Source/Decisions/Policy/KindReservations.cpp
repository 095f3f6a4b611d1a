#include "Decisions/Policy/KindReservations.h"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

/// Limits on the workers reserved for one kind: 1 + workers of the shard /
/// workersPerReservedWorker, and at most maxReservedWorkers. In a large shard, capacity for large
/// tasks becomes free often enough without more reservations.
constexpr std::size_t workersPerReservedWorker = 4;
constexpr std::size_t maxReservedWorkers = 12;
constexpr std::size_t maxExamined = 64;

} // namespace

std::optional<WorkerIndex> KindReservations::reserve(const AllocationLedger &ledger,
                                                     const SchedulingUnit &unit,
                                                     std::size_t unitsWithinShare)
{
    const std::size_t kind = unit.owner.kind.value();
    if (reservedWorkers_.size() <= kind)
        reservedWorkers_.resize(kind + 1);
    const std::size_t limit = std::min(maxReservedWorkers,
                                       1 + ledger.allocations().size() / workersPerReservedWorker);
    if (reservedWorkers_[kind].size() >= std::min(limit, unitsWithinShare))
        return std::nullopt;
    const std::optional<WorkerIndex> worker = closestToFitting(ledger, unit.needsPerTask);
    if (worker)
        reservedWorkers_[kind].push_back(*worker);
    return worker;
}

std::optional<WorkerIndex> KindReservations::closestToFitting(const AllocationLedger &ledger,
                                                              const Resources &needs)
{
    std::optional<WorkerIndex> nearest;
    double least = 0;
    const std::size_t count = ledger.allocations().size();
    for (std::size_t i = 0; i < std::min(count, maxExamined); ++i) {
        const WorkerIndex worker(cursor_++ % count);
        const AllocationLedger::WorkerAllocation &allocation = ledger.allocation(worker);
        if (!allocation.isOpen || allocation.reservedFor != ReservationKey()
            || !needs.fitsIn(allocation.capacity))
            continue;
        const double missing = (needs - allocation.free()).dominantShareOf(allocation.capacity);
        if (!nearest || missing < least) {
            nearest = worker;
            least = missing;
        }
    }
    return nearest;
}

std::vector<WorkerIndex> KindReservations::release(KindIndex kind)
{
    if (!hasReservation(kind))
        return {};
    return std::exchange(reservedWorkers_[kind.value()], {});
}

bool KindReservations::hasReservation(KindIndex kind) const
{
    return kind.value() < reservedWorkers_.size() && !reservedWorkers_[kind.value()].empty();
}

} // namespace caraway
