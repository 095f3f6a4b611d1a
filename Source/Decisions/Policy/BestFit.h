#pragma once

#include "Decisions/Ledger.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace caraway {

/// Open workers in a grid of free processors by free memory. A search visits only cells
/// that may have room, and examines a bounded number of workers.
class FreeRoomGrid
{
public:
    FreeRoomGrid();

    void insert(std::uint32_t worker, std::uint32_t cell);
    void remove(std::uint32_t worker);

    /// Calls \a examine with each worker in a cell at or above the one given, until it returns
    /// true or a bound is met.
    template<class Examine>
    void search(std::uint32_t cell, Examine &&examine) const;

    /// Cells along each side of the grid.
    static constexpr std::uint32_t levels = 64;
    static std::uint32_t cellOf(const Resources &free, const Resources &greatest);

private:
    static constexpr std::uint32_t absent = UINT32_MAX;
    static constexpr std::size_t maxExaminedInCell = 16;

    struct Place
    {
        std::uint32_t cell = absent;
        std::uint32_t position = 0;
    };

    std::vector<std::vector<std::uint32_t>> cells_;
    /// For each row, a bit for each cell that has workers.
    std::array<std::uint64_t, levels> rows_ {};
    std::vector<Place> places_;
};

/// The worker that is left with the least room over all dimensions. Its cost does not grow with
/// the number of workers; only gangs look at each worker of the shard.
class BestFit
{
public:
    void onChanged(const Ledger &ledger, WorkerIndex worker);
    std::optional<WorkerIndex> choose(const Ledger &ledger, const Resources &needs) const;
    /// Chooses from as few racks as possible.
    std::vector<WorkerIndex> chooseForGang(const Ledger &ledger, const Resources &needs,
                                           std::size_t count) const;

private:
    void rebuild(const Ledger &ledger);
    void place(const Ledger &ledger, WorkerIndex worker);
    std::optional<WorkerIndex> searchGrid(const FreeRoomGrid &grid, const Ledger &ledger,
                                          const Resources &needs) const;

    FreeRoomGrid plain_;
    FreeRoomGrid accelerated_;
    Resources greatest_;
};

} // namespace caraway
