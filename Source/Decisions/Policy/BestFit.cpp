#include "Decisions/Policy/BestFit.h"

#include <algorithm>
#include <bit>

namespace caraway {

namespace {

constexpr std::size_t maxExamined = 96;
/// Number of fitting workers after which a search chooses the best of them.
constexpr std::size_t maxCompared = 8;

std::uint32_t levelOf(std::int64_t amount, std::int64_t maximum)
{
    if (amount <= 0 || maximum <= 0)
        return 0;
    const std::int64_t level = amount * FreeCapacityGrid::levels / maximum;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(level, FreeCapacityGrid::levels - 1));
}

/// Sum over all dimensions of the fraction of capacity that stays free after \a needs is placed;
/// less is better.
double remainingFraction(const AllocationLedger::WorkerAllocation &allocation,
                         const Resources &needs)
{
    const Resources left = allocation.free() - needs;
    const Resources &whole = allocation.capacity;
    const auto part = [](auto amount, auto of) {
        return of.count() > 0
                ? static_cast<double>(amount.count()) / static_cast<double>(of.count())
                : 0.0;
    };
    return part(left.processors, whole.processors) + part(left.memory, whole.memory)
            + part(left.accelerators, whole.accelerators) + part(left.slots, whole.slots);
}

/// Whether a task without accelerators leaves processors and memory in proportion to the free
/// accelerators, so that tasks with accelerators can still be placed.
bool leavesAcceleratorsUsable(const AllocationLedger::WorkerAllocation &allocation,
                              const Resources &needs)
{
    const Resources left = allocation.free() - needs;
    const std::int64_t all = allocation.capacity.accelerators.count();
    const std::int64_t unused = left.accelerators.count();
    return left.processors.count() * all >= allocation.capacity.processors.count() * unused
            && left.memory.count() / unused >= allocation.capacity.memory.count() / all;
}

} // namespace

FreeCapacityGrid::FreeCapacityGrid()
    : cells_(std::size_t(levels) * levels)
{
}

std::uint32_t FreeCapacityGrid::cellOf(const Resources &free, const Resources &maximum)
{
    return levelOf(free.processors.count(), maximum.processors.count()) * levels
            + levelOf(free.memory.count(), maximum.memory.count());
}

void FreeCapacityGrid::insert(const Entry &entry, std::uint32_t cell)
{
    const std::uint32_t worker = entry.worker;
    if (locations_.size() <= worker)
        locations_.resize(worker + 1);
    if (locations_[worker].cell == cell) {
        cells_[cell][locations_[worker].position] = entry;
        return;
    }
    remove(worker);
    locations_[worker] = {cell, static_cast<std::uint32_t>(cells_[cell].size())};
    cells_[cell].push_back(entry);
    rows_[cell / levels] |= std::uint64_t(1) << (cell % levels);
}

void FreeCapacityGrid::remove(std::uint32_t worker)
{
    if (locations_.size() <= worker || locations_[worker].cell == absent)
        return;
    const Location location = locations_[worker];
    std::vector<Entry> &cell = cells_[location.cell];
    cell[location.position] = cell.back();
    locations_[cell.back().worker].position = location.position;
    cell.pop_back();
    locations_[worker].cell = absent;
    if (cell.empty())
        rows_[location.cell / levels] &= ~(std::uint64_t(1) << (location.cell % levels));
}

template<class Examine>
void FreeCapacityGrid::search(std::uint32_t cell, Examine &&examine) const
{
    const std::uint64_t columns = ~std::uint64_t(0) << (cell % levels);
    std::size_t examined = 0;
    for (std::uint32_t row = cell / levels; row < levels; ++row) {
        for (std::uint64_t left = rows_[row] & columns; left != 0; left &= left - 1) {
            const auto column = static_cast<std::uint32_t>(std::countr_zero(left));
            const std::vector<Entry> &entries = cells_[row * levels + column];
            const std::size_t count = std::min(entries.size(), maxExaminedInCell);
            for (std::size_t i = 0; i < count; ++i) {
                if (examine(entries[i]) || ++examined >= maxExamined)
                    return;
            }
        }
    }
}

void BestFit::onChanged(const AllocationLedger &ledger, WorkerIndex worker)
{
    const Resources &capacity = ledger.allocation(worker).capacity;
    if (capacity.processors > maxCapacity_.processors || capacity.memory > maxCapacity_.memory)
        rebuild(ledger);
    else
        updateGrid(ledger, worker);
}

void BestFit::rebuild(const AllocationLedger &ledger)
{
    maxCapacity_ = ledger.maxCapacity();
    for (std::size_t i = 0; i < ledger.allocations().size(); ++i)
        updateGrid(ledger, WorkerIndex(i));
}

void BestFit::updateGrid(const AllocationLedger &ledger, WorkerIndex worker)
{
    const AllocationLedger::WorkerAllocation &allocation = ledger.allocation(worker);
    const Resources free = allocation.free();
    const auto number = static_cast<std::uint32_t>(worker.value());
    const bool isUsable
            = allocation.isOpen && allocation.reservedFor == reservedFor_ && free.slots > Slots();
    const bool hasAccelerators = allocation.capacity.accelerators > Accelerators();
    FreeCapacityGrid &grid = hasAccelerators ? withAccelerators_ : withoutAccelerators_;
    // The worker may have gained or lost its accelerators.
    (hasAccelerators ? withoutAccelerators_ : withAccelerators_).remove(number);
    if (isUsable)
        grid.insert({free, number}, FreeCapacityGrid::cellOf(free, maxCapacity_));
    else
        grid.remove(number);
}

std::optional<WorkerIndex> BestFit::choose(const AllocationLedger &ledger,
                                           const Resources &needs) const
{
    if (needs.accelerators > Accelerators())
        return searchGrid(withAccelerators_, ledger, needs);
    const std::optional<WorkerIndex> chosen = searchGrid(withoutAccelerators_, ledger, needs);
    return chosen ? chosen : searchGrid(withAccelerators_, ledger, needs);
}

std::optional<WorkerIndex> BestFit::searchGrid(const FreeCapacityGrid &grid,
                                               const AllocationLedger &ledger,
                                               const Resources &needs) const
{
    std::optional<WorkerIndex> best;
    double leastRemaining = 0;
    std::size_t compared = 0;
    const bool mustLeaveAcceleratorsUsable = &grid == &withAccelerators_
            && needs.accelerators == Accelerators() && ledger.fitsWithoutAccelerators(needs);
    grid.search(
            FreeCapacityGrid::cellOf(needs, maxCapacity_),
            [&](const FreeCapacityGrid::Entry &entry) {
                if (!needs.fitsIn(entry.free))
                    return false;
                const WorkerIndex worker(entry.worker);
                const AllocationLedger::WorkerAllocation &allocation = ledger.allocation(worker);
                if (mustLeaveAcceleratorsUsable && allocation.free().accelerators > Accelerators()
                    && !leavesAcceleratorsUsable(allocation, needs))
                    return false;
                const double left = remainingFraction(allocation, needs);
                if (!best || left < leastRemaining) {
                    best = worker;
                    leastRemaining = left;
                }
                return ++compared >= maxCompared;
            });
    return best;
}

std::vector<WorkerIndex> BestFit::chooseForGang(const AllocationLedger &ledger,
                                                const Resources &needs, std::size_t count) const
{
    struct Rack
    {
        std::int64_t fits = 0;
        const std::vector<WorkerIndex> *workers = nullptr;
    };
    const auto wanted = static_cast<std::int64_t>(count);
    const auto fitsOn = [&](WorkerIndex worker, std::int64_t most) {
        const AllocationLedger::WorkerAllocation &allocation = ledger.allocation(worker);
        return allocation.isOpen && allocation.reservedFor == reservedFor_
                ? needs.timesIn(allocation.free(), most)
                : 0;
    };
    std::vector<Rack> racks;
    std::int64_t total = 0;
    for (const std::vector<WorkerIndex> &workers : ledger.racks()) {
        Rack rack {0, &workers};
        for (const WorkerIndex worker : workers)
            rack.fits += fitsOn(worker, wanted);
        total += rack.fits;
        racks.push_back(rack);
    }
    if (total < wanted)
        return {};
    // Prefer the smallest rack that fits the whole gang; otherwise fill the largest racks first, so
    // that the gang spans few racks.
    std::ranges::sort(racks, [&](const Rack &a, const Rack &b) {
        const bool aFitsAll = a.fits >= wanted;
        const bool bFitsAll = b.fits >= wanted;
        if (aFitsAll != bFitsAll)
            return aFitsAll;
        return aFitsAll ? a.fits < b.fits : a.fits > b.fits;
    });
    std::vector<WorkerIndex> chosen;
    for (const Rack &rack : racks) {
        for (const WorkerIndex worker : *rack.workers) {
            const std::int64_t fits
                    = fitsOn(worker, wanted - static_cast<std::int64_t>(chosen.size()));
            chosen.insert(chosen.end(), static_cast<std::size_t>(fits), worker);
        }
        if (chosen.size() == count)
            break;
    }
    return chosen;
}

} // namespace caraway
