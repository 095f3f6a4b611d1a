#include "Decisions/Policy/BestFit.h"

#include <algorithm>
#include <bit>

namespace caraway {

namespace {

constexpr std::size_t maxExamined = 96;
/// Enough workers with room to compare.
constexpr std::size_t maxCompared = 8;

std::uint32_t levelOf(std::int64_t amount, std::int64_t greatest)
{
    if (amount <= 0 || greatest <= 0)
        return 0;
    const std::int64_t level = amount * FreeRoomGrid::levels / greatest;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(level, FreeRoomGrid::levels - 1));
}

/// How much room \a needs would leave in all dimensions together; less is better.
double leftOver(const Ledger::Account &account, const Resources &needs)
{
    const Resources left = account.free() - needs;
    const Resources &whole = account.capacity;
    const auto part = [](auto amount, auto of) {
        return of.count() > 0
                ? static_cast<double>(amount.count()) / static_cast<double>(of.count())
                : 0.0;
    };
    return part(left.processors, whole.processors) + part(left.memory, whole.memory)
            + part(left.accelerators, whole.accelerators) + part(left.slots, whole.slots);
}

/// Whether a task without accelerators leaves enough beside the free accelerators for tasks
/// that will use them.
bool sparesAccelerators(const Ledger::Account &account, const Resources &needs)
{
    const Resources left = account.free() - needs;
    const std::int64_t all = account.capacity.accelerators.count();
    const std::int64_t unused = left.accelerators.count();
    return left.processors.count() * all >= account.capacity.processors.count() * unused
            && left.memory.count() / unused >= account.capacity.memory.count() / all;
}

} // namespace

FreeRoomGrid::FreeRoomGrid()
    : cells_(std::size_t(levels) * levels)
{
}

std::uint32_t FreeRoomGrid::cellOf(const Resources &free, const Resources &greatest)
{
    return levelOf(free.processors.count(), greatest.processors.count()) * levels
            + levelOf(free.memory.count(), greatest.memory.count());
}

void FreeRoomGrid::insert(std::uint32_t worker, std::uint32_t cell)
{
    if (places_.size() <= worker)
        places_.resize(worker + 1);
    if (places_[worker].cell == cell)
        return;
    remove(worker);
    places_[worker] = {cell, static_cast<std::uint32_t>(cells_[cell].size())};
    cells_[cell].push_back(worker);
    rows_[cell / levels] |= std::uint64_t(1) << (cell % levels);
}

void FreeRoomGrid::remove(std::uint32_t worker)
{
    if (places_.size() <= worker || places_[worker].cell == absent)
        return;
    const Place place = places_[worker];
    std::vector<std::uint32_t> &cell = cells_[place.cell];
    cell[place.position] = cell.back();
    places_[cell.back()].position = place.position;
    cell.pop_back();
    places_[worker].cell = absent;
    if (cell.empty())
        rows_[place.cell / levels] &= ~(std::uint64_t(1) << (place.cell % levels));
}

template<class Examine>
void FreeRoomGrid::search(std::uint32_t cell, Examine &&examine) const
{
    const std::uint64_t columns = ~std::uint64_t(0) << (cell % levels);
    std::size_t examined = 0;
    for (std::uint32_t row = cell / levels; row < levels; ++row) {
        for (std::uint64_t left = rows_[row] & columns; left != 0; left &= left - 1) {
            const auto column = static_cast<std::uint32_t>(std::countr_zero(left));
            const std::vector<std::uint32_t> &workers = cells_[row * levels + column];
            const std::size_t count = std::min(workers.size(), maxExaminedInCell);
            for (std::size_t i = 0; i < count; ++i) {
                if (examine(workers[i]) || ++examined >= maxExamined)
                    return;
            }
        }
    }
}

void BestFit::onChanged(const Ledger &ledger, WorkerIndex worker)
{
    const Resources &capacity = ledger.account(worker).capacity;
    if (capacity.processors > greatest_.processors || capacity.memory > greatest_.memory)
        rebuild(ledger);
    else
        place(ledger, worker);
}

void BestFit::rebuild(const Ledger &ledger)
{
    greatest_ = ledger.greatestCapacity();
    for (std::size_t i = 0; i < ledger.accounts().size(); ++i)
        place(ledger, WorkerIndex(i));
}

void BestFit::place(const Ledger &ledger, WorkerIndex worker)
{
    const Ledger::Account &account = ledger.account(worker);
    const Resources free = account.free();
    const auto number = static_cast<std::uint32_t>(worker.value());
    const bool isUsable = account.isOpen && !account.isHeld && free.slots > Slots();
    FreeRoomGrid &grid = account.capacity.accelerators > Accelerators() ? accelerated_ : plain_;
    if (isUsable)
        grid.insert(number, FreeRoomGrid::cellOf(free, greatest_));
    else
        grid.remove(number);
}

std::optional<WorkerIndex> BestFit::choose(const Ledger &ledger, const Resources &needs) const
{
    if (needs.accelerators > Accelerators())
        return searchGrid(accelerated_, ledger, needs);
    const std::optional<WorkerIndex> plain = searchGrid(plain_, ledger, needs);
    return plain ? plain : searchGrid(accelerated_, ledger, needs);
}

std::optional<WorkerIndex> BestFit::searchGrid(const FreeRoomGrid &grid, const Ledger &ledger,
                                               const Resources &needs) const
{
    std::optional<WorkerIndex> best;
    double leastLeft = 0;
    std::size_t compared = 0;
    const bool mustSpare = &grid == &accelerated_ && needs.accelerators == Accelerators()
            && ledger.couldFitWithoutAccelerators(needs);
    grid.search(FreeRoomGrid::cellOf(needs, greatest_), [&](std::uint32_t number) {
        const WorkerIndex worker(number);
        const Ledger::Account &account = ledger.account(worker);
        if (!needs.fitsIn(account.free()))
            return false;
        if (mustSpare && account.free().accelerators > Accelerators()
            && !sparesAccelerators(account, needs))
            return false;
        const double left = leftOver(account, needs);
        if (!best || left < leastLeft) {
            best = worker;
            leastLeft = left;
        }
        return ++compared >= maxCompared;
    });
    return best;
}

std::vector<WorkerIndex> BestFit::chooseForGang(const Ledger &ledger, const Resources &needs,
                                                std::size_t count) const
{
    struct Rack
    {
        std::int64_t fits = 0;
        const std::vector<WorkerIndex> *workers = nullptr;
    };
    const auto wanted = static_cast<std::int64_t>(count);
    const auto fitsOn = [&](WorkerIndex worker, std::int64_t most) {
        const Ledger::Account &account = ledger.account(worker);
        return account.isOpen && !account.isHeld ? needs.timesIn(account.free(), most) : 0;
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
    // The smallest rack that holds all; else the largest first, so that few are used.
    std::ranges::sort(racks, [&](const Rack &a, const Rack &b) {
        const bool aHoldsAll = a.fits >= wanted;
        const bool bHoldsAll = b.fits >= wanted;
        if (aHoldsAll != bHoldsAll)
            return aHoldsAll;
        return aHoldsAll ? a.fits < b.fits : a.fits > b.fits;
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
