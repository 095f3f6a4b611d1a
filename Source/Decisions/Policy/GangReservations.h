#pragma once

#include "Decisions/AllocationLedger.h"
#include "Decisions/Policy/SchedulingUnit.h"

#include <optional>
#include <vector>

namespace caraway {

/// Reserves chosen workers for a unit that does not fit, a gang or a single task, so that it does
/// not starve while smaller work is placed on capacity that becomes free. Work that is expected to
/// complete before the reservation is ready may use the reserved workers (backfill).
class GangReservations
{
public:
    std::vector<WorkerIndex> reserve(TimePoint now, const AllocationLedger &ledger,
                                     const SchedulingUnit &unit);
    const std::vector<WorkerIndex> *reservedWorkers(UnitNumber unit) const;
    std::vector<WorkerIndex> release(UnitNumber unit);
    /// Ends the reservations of all units of \a job and returns their workers.
    std::vector<WorkerIndex> releaseJob(const JobName &job);
    std::optional<WorkerIndex> backfill(TimePoint now, const AllocationLedger &ledger,
                                        const SchedulingUnit &unit) const;

private:
    struct Reservation
    {
        UnitNumber unit;
        JobName job;
        std::vector<WorkerIndex> workers;
        /// When the work on the reserved workers is expected to have completed.
        TimePoint readyAt;
    };

    std::vector<Reservation> reservations_;
};

} // namespace caraway
