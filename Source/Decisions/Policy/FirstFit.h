#pragma once

#include "Decisions/AllocationLedger.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace caraway {

/// Chooses the first worker, in the order of the ledger, with sufficient free capacity.
class FirstFit
{
public:
    explicit FirstFit(ReservationKey reservedFor = {})
        : reservedFor_(reservedFor)
    {
    }

    void onChanged(const AllocationLedger & /*ledger*/, WorkerIndex /*worker*/) { }

    std::optional<WorkerIndex> choose(const AllocationLedger &ledger, const Resources &needs) const
    {
        for (std::size_t i = 0; i < ledger.allocations().size(); ++i) {
            const AllocationLedger::WorkerAllocation &allocation
                    = ledger.allocation(WorkerIndex(i));
            if (allocation.isOpen && allocation.reservedFor == reservedFor_
                && needs.fitsIn(allocation.free()))
                return WorkerIndex(i);
        }
        return std::nullopt;
    }

    std::vector<WorkerIndex> chooseForGang(const AllocationLedger &ledger, const Resources &needs,
                                           std::size_t count) const
    {
        std::vector<WorkerIndex> chosen;
        for (std::size_t i = 0; i < ledger.allocations().size() && chosen.size() < count; ++i) {
            const AllocationLedger::WorkerAllocation &allocation
                    = ledger.allocation(WorkerIndex(i));
            if (!allocation.isOpen || allocation.reservedFor != reservedFor_)
                continue;
            const auto missing = static_cast<std::int64_t>(count - chosen.size());
            const std::int64_t fits = needs.timesIn(allocation.free(), missing);
            chosen.insert(chosen.end(), static_cast<std::size_t>(fits), WorkerIndex(i));
        }
        return chosen.size() == count ? chosen : std::vector<WorkerIndex>();
    }

private:
    ReservationKey reservedFor_;
};

} // namespace caraway
