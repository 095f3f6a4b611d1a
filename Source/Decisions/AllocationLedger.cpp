#include "Decisions/AllocationLedger.h"

#include <algorithm>

namespace caraway {

WorkerIndex AllocationLedger::setWorker(const WorkerMember &worker)
{
    const auto [position, isNew] = indexes_.try_emplace(worker.id, allocations_.size());
    const WorkerIndex index = position->second;
    if (isNew) {
        const RackIndex rack = rackIndex(worker.rack);
        allocations_.emplace_back(worker.id, WorkerAllocation {.rack = rack});
        racks_[rack.value()].push_back(index);
        addToCapacityClass({}, 1);
    }
    WorkerAllocation &allocation = allocations_[index.value()].second;
    if (allocation.capacity == worker.capacity)
        return index;
    addToCapacityClass(allocation.capacity, -1);
    addToCapacityClass(worker.capacity, 1);
    totalCapacity_ += worker.capacity - allocation.capacity;
    if (allocation.isOpen)
        openCapacity_ += worker.capacity - allocation.capacity;
    allocation.capacity = worker.capacity;
    return index;
}

void AllocationLedger::setOpen(WorkerIndex worker, bool isOpen)
{
    WorkerAllocation &allocation = allocations_[worker.value()].second;
    if (allocation.isOpen == isOpen)
        return;
    allocation.isOpen = isOpen;
    if (isOpen)
        openCapacity_ += allocation.capacity;
    else
        openCapacity_ -= allocation.capacity;
}

void AllocationLedger::setReservedFor(WorkerIndex worker, ReservationKey reservedFor)
{
    allocations_[worker.value()].second.reservedFor = reservedFor;
}

void AllocationLedger::releaseAll()
{
    for (auto &[id, allocation] : allocations_) {
        allocation.reserved = {};
        allocation.isOpen = false;
        allocation.reservedFor = {};
        allocation.busyUntil = {};
    }
    openCapacity_ = {};
}

bool AllocationLedger::reserve(WorkerIndex worker, const Resources &needs)
{
    WorkerAllocation &allocation = allocations_[worker.value()].second;
    if (!allocation.isOpen || !needs.fitsIn(allocation.free()))
        return false;
    allocation.reserved += needs;
    return true;
}

void AllocationLedger::expectBusyUntil(WorkerIndex worker, TimePoint end)
{
    WorkerAllocation &allocation = allocations_[worker.value()].second;
    allocation.busyUntil = std::max(allocation.busyUntil, end);
}

void AllocationLedger::reserveDiscovered(WorkerIndex worker, const Resources &needs)
{
    allocations_[worker.value()].second.reserved += needs;
}

void AllocationLedger::release(WorkerIndex worker, const Resources &needs)
{
    WorkerAllocation &allocation = allocations_[worker.value()].second;
    allocation.reserved -= needs;
    if (allocation.reserved == Resources())
        allocation.busyUntil = {};
}

std::int64_t AllocationLedger::maxTasksWhenIdle(const Resources &needs, std::int64_t enough) const
{
    std::int64_t most = 0;
    for (const CapacityClass &capacityClass : capacityClasses_) {
        most += capacityClass.workers * needs.timesIn(capacityClass.capacity, enough);
        if (most >= enough)
            return enough;
    }
    return most;
}

bool AllocationLedger::fitsWithoutAccelerators(const Resources &needs) const
{
    return std::ranges::any_of(capacityClasses_, [&](const CapacityClass &capacityClass) {
        return capacityClass.workers > 0 && capacityClass.capacity.accelerators == Accelerators()
                && needs.fitsIn(capacityClass.capacity);
    });
}

Resources AllocationLedger::maxCapacity() const
{
    Resources greatest;
    for (const CapacityClass &capacityClass : capacityClasses_) {
        if (capacityClass.workers == 0)
            continue;
        greatest.processors = std::max(greatest.processors, capacityClass.capacity.processors);
        greatest.memory = std::max(greatest.memory, capacityClass.capacity.memory);
        greatest.accelerators
                = std::max(greatest.accelerators, capacityClass.capacity.accelerators);
        greatest.slots = std::max(greatest.slots, capacityClass.capacity.slots);
    }
    return greatest;
}

std::optional<WorkerIndex> AllocationLedger::find(const WorkerId &worker) const
{
    const auto found = indexes_.find(worker);
    return found == indexes_.end() ? std::nullopt : std::optional(found->second);
}

RackIndex AllocationLedger::rackIndex(const RackId &rack)
{
    const auto [position, isNew] = rackIndexes_.try_emplace(rack, racks_.size());
    if (isNew)
        racks_.emplace_back();
    return position->second;
}

void AllocationLedger::addToCapacityClass(const Resources &capacity, std::int64_t workers)
{
    const auto found = std::ranges::find(capacityClasses_, capacity, &CapacityClass::capacity);
    if (found != capacityClasses_.end())
        found->workers += workers;
    else
        capacityClasses_.push_back({capacity, workers});
}

} // namespace caraway
