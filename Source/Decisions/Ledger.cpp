#include "Decisions/Ledger.h"

#include <algorithm>

namespace caraway {

WorkerIndex Ledger::setWorker(const WorkerMember &worker)
{
    const auto [place, isNew] = indexes_.try_emplace(worker.id, accounts_.size());
    const WorkerIndex index = place->second;
    if (isNew) {
        const RackIndex rack = rackIndex(worker.rack);
        accounts_.emplace_back(worker.id, Account {.rack = rack});
        racks_[rack.value()].push_back(index);
        countCapacity({}, 1);
    }
    Account &account = accounts_[index.value()].second;
    if (account.capacity == worker.capacity)
        return index;
    countCapacity(account.capacity, -1);
    countCapacity(worker.capacity, 1);
    capacityOfAll_ += worker.capacity - account.capacity;
    if (account.isOpen)
        openCapacity_ += worker.capacity - account.capacity;
    account.capacity = worker.capacity;
    return index;
}

void Ledger::setOpen(WorkerIndex worker, bool isOpen)
{
    Account &account = accounts_[worker.value()].second;
    if (account.isOpen == isOpen)
        return;
    account.isOpen = isOpen;
    if (isOpen)
        openCapacity_ += account.capacity;
    else
        openCapacity_ -= account.capacity;
}

void Ledger::setHeld(WorkerIndex worker, bool isHeld)
{
    accounts_[worker.value()].second.isHeld = isHeld;
}

void Ledger::clearReservations()
{
    for (auto &[id, account] : accounts_) {
        account.reserved = {};
        account.isOpen = false;
        account.isHeld = false;
        account.busyUntil = {};
    }
    openCapacity_ = {};
}

bool Ledger::reserve(WorkerIndex worker, const Resources &needs)
{
    Account &account = accounts_[worker.value()].second;
    if (!account.isOpen || !needs.fitsIn(account.free()))
        return false;
    account.reserved += needs;
    return true;
}

void Ledger::expectBusyUntil(WorkerIndex worker, TimePoint end)
{
    Account &account = accounts_[worker.value()].second;
    account.busyUntil = std::max(account.busyUntil, end);
}

void Ledger::reserveFound(WorkerIndex worker, const Resources &needs)
{
    accounts_[worker.value()].second.reserved += needs;
}

void Ledger::release(WorkerIndex worker, const Resources &needs)
{
    Account &account = accounts_[worker.value()].second;
    account.reserved -= needs;
    if (account.reserved == Resources())
        account.busyUntil = {};
}

std::int64_t Ledger::mostThatCouldEverFit(const Resources &needs, std::int64_t enough) const
{
    std::int64_t most = 0;
    for (const CapacityClass &each : capacityClasses_) {
        most += each.workers * needs.timesIn(each.capacity, enough);
        if (most >= enough)
            return enough;
    }
    return most;
}

bool Ledger::couldFitWithoutAccelerators(const Resources &needs) const
{
    return std::ranges::any_of(capacityClasses_, [&](const CapacityClass &each) {
        return each.workers > 0 && each.capacity.accelerators == Accelerators()
                && needs.fitsIn(each.capacity);
    });
}

Resources Ledger::greatestCapacity() const
{
    Resources greatest;
    for (const CapacityClass &each : capacityClasses_) {
        if (each.workers == 0)
            continue;
        greatest.processors = std::max(greatest.processors, each.capacity.processors);
        greatest.memory = std::max(greatest.memory, each.capacity.memory);
        greatest.accelerators = std::max(greatest.accelerators, each.capacity.accelerators);
        greatest.slots = std::max(greatest.slots, each.capacity.slots);
    }
    return greatest;
}

std::optional<WorkerIndex> Ledger::find(const WorkerId &worker) const
{
    const auto found = indexes_.find(worker);
    return found == indexes_.end() ? std::nullopt : std::optional(found->second);
}

RackIndex Ledger::rackIndex(const RackId &rack)
{
    const auto [place, isNew] = rackIndexes_.try_emplace(rack, racks_.size());
    if (isNew)
        racks_.emplace_back();
    return place->second;
}

void Ledger::countCapacity(const Resources &capacity, std::int64_t workers)
{
    const auto found = std::ranges::find(capacityClasses_, capacity, &CapacityClass::capacity);
    if (found != capacityClasses_.end())
        found->workers += workers;
    else
        capacityClasses_.push_back({capacity, workers});
}

} // namespace caraway
