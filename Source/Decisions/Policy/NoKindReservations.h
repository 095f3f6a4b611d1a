#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Reserves no workers for kinds.
class NoKindReservations
{
public:
    std::optional<WorkerIndex> reserve(const AllocationLedger & /*ledger*/,
                                       const SchedulingUnit & /*unit*/,
                                       std::size_t /*unitsWithinShare*/)
    {
        return std::nullopt;
    }
    std::vector<WorkerIndex> release(KindIndex /*kind*/) { return {}; }
    bool hasReservation(KindIndex /*kind*/) const { return false; }
};

} // namespace caraway
