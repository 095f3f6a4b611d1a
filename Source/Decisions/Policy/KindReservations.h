#pragma once

#include "Decisions/AllocationLedger.h"
#include "Decisions/Policy/SchedulingUnit.h"

#include <optional>
#include <vector>

namespace caraway {

/// Reserves workers for kinds that run less than their share and whose tasks don't fit because
/// smaller tasks of other kinds use the capacity first. A reserved worker is given work of that
/// kind only, until the kind is no longer underserved or has no queued tasks.
class KindReservations
{
public:
    /// Chooses one more worker to reserve for the unit's kind. Nullopt when no worker qualifies or
    /// the kind has reached its limit, which is at most \a unitsWithinShare workers.
    std::optional<WorkerIndex> reserve(const AllocationLedger &ledger, const SchedulingUnit &unit,
                                       std::size_t unitsWithinShare);
    /// Ends the reservation for \a kind and returns its workers.
    std::vector<WorkerIndex> release(KindIndex kind);
    bool hasReservation(KindIndex kind) const;

private:
    std::optional<WorkerIndex> closestToFitting(const AllocationLedger &ledger,
                                                const Resources &needs);

    std::vector<std::vector<WorkerIndex>> reservedWorkers_;
    /// Start of the next search, so that successive searches cover all workers.
    std::size_t cursor_ = 0;
};

} // namespace caraway
