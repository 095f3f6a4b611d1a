#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Reserves no capacity for units.
class NoGangReservations
{
public:
    std::vector<WorkerIndex> reserve(TimePoint /*now*/, const AllocationLedger & /*ledger*/,
                                     const SchedulingUnit & /*unit*/)
    {
        return {};
    }
    const std::vector<WorkerIndex> *reservedWorkers(UnitNumber /*unit*/) const { return nullptr; }
    std::vector<WorkerIndex> release(UnitNumber /*unit*/) { return {}; }
    std::vector<WorkerIndex> releaseJob(const JobName & /*job*/) { return {}; }
    std::optional<WorkerIndex> backfill(TimePoint /*now*/, const AllocationLedger & /*ledger*/,
                                        const SchedulingUnit & /*unit*/) const
    {
        return std::nullopt;
    }
};

} // namespace caraway
