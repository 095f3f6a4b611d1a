#pragma once

#include "Decisions/AllocationLedger.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace caraway {

/// Indexes workers in a grid of free processors by free memory. A search visits only cells whose
/// workers may have sufficient free capacity, and examines a bounded number of workers.
class FreeCapacityGrid
{
public:
    /// A worker with a copy of its free capacity, so that a search reads memory sequentially.
    struct Entry
    {
        Resources free;
        std::uint32_t worker = 0;
    };

    FreeCapacityGrid();

    void insert(const Entry &entry, std::uint32_t cell);
    void remove(std::uint32_t worker);

    /// Calls \a examine with the entries of each cell that has at least the row and the column of
    /// \a cell, until it returns true or the limit of examined entries is reached.
    template<class Examine>
    void search(std::uint32_t cell, Examine &&examine) const;

    /// Cells along each side of the grid.
    static constexpr std::uint32_t levels = 64;
    static std::uint32_t cellOf(const Resources &free, const Resources &maximum);

private:
    static constexpr std::uint32_t absent = UINT32_MAX;
    static constexpr std::size_t maxExaminedInCell = 16;

    struct Location
    {
        std::uint32_t cell = absent;
        std::uint32_t position = 0;
    };

    std::vector<std::vector<Entry>> cells_;
    /// For each row, a bit set of its non-empty cells.
    std::array<std::uint64_t, levels> rows_ {};
    std::vector<Location> locations_;
};

/// Chooses the worker that has the least free capacity after the placement, summed over all
/// dimensions. The cost does not depend on the number of workers, except for gangs, which examine
/// every worker of the shard.
class BestFit
{
public:
    /// Chooses among the workers that are reserved for \a reservedFor.
    explicit BestFit(ReservationKey reservedFor = {})
        : reservedFor_(reservedFor)
    {
    }

    void onChanged(const AllocationLedger &ledger, WorkerIndex worker);
    std::optional<WorkerIndex> choose(const AllocationLedger &ledger, const Resources &needs) const;
    /// Chooses from as few racks as possible.
    std::vector<WorkerIndex> chooseForGang(const AllocationLedger &ledger, const Resources &needs,
                                           std::size_t count) const;

private:
    void rebuild(const AllocationLedger &ledger);
    void updateGrid(const AllocationLedger &ledger, WorkerIndex worker);
    std::optional<WorkerIndex> searchGrid(const FreeCapacityGrid &grid,
                                          const AllocationLedger &ledger,
                                          const Resources &needs) const;

    FreeCapacityGrid withoutAccelerators_;
    FreeCapacityGrid withAccelerators_;
    Resources maxCapacity_;
    ReservationKey reservedFor_;
};

} // namespace caraway
