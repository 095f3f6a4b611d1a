#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caraway {

/// Index of a worker in the ledger of its shard, from 0. It never changes.
using WorkerIndex = NumberId<struct WorkerIndexTag>;
/// Index of a rack in the ledger of its shard, from 0.
using RackIndex = NumberId<struct RackIndexTag>;
/// Identifies the waiting work for which a worker's free capacity is reserved; zero if
/// it is not reserved.
using ReservationKey = NumberId<struct ReservationKeyTag>;

/// The allocations and reservations on the workers of a shard, kept by its holder.
///
/// An allocation is made before a start is sent, and released only when it is certain that the
/// worker doesn't run the task; a timeout releases nothing.
class AllocationLedger
{
public:
    struct WorkerAllocation
    {
        Resources capacity;
        /// Allocated to started and starting tasks.
        Resources reserved;
        RackIndex rack;
        /// Whether tasks may be placed on the worker.
        bool isOpen = false;
        /// The waiting work that alone may use the worker's free capacity.
        ReservationKey reservedFor;
        /// When all tasks on the worker are expected to have completed.
        TimePoint busyUntil;

        Resources free() const { return capacity - reserved; }
    };

    /// Adds a worker, which is closed at first, or updates the capacity of a known one.
    WorkerIndex setWorker(const WorkerMember &worker);
    void setOpen(WorkerIndex worker, bool isOpen);
    void setReservedFor(WorkerIndex worker, ReservationKey reservedFor);
    /// Drops all allocations and reservations and closes all workers.
    void releaseAll();

    /// Allocates \a needs. Returns false and changes nothing if the worker is closed or its free
    /// capacity is insufficient.
    bool reserve(WorkerIndex worker, const Resources &needs);
    /// Records when a task on \a worker is expected to complete.
    void expectBusyUntil(WorkerIndex worker, TimePoint end);
    /// Allocates resources to a discovered attempt, even if they exceed the free capacity.
    void reserveDiscovered(WorkerIndex worker, const Resources &needs);
    void release(WorkerIndex worker, const Resources &needs);

    /// How many tasks of this size fit on the shard's workers while they are idle, at most
    /// \a enough.
    std::int64_t maxTasksWhenIdle(const Resources &needs, std::int64_t enough) const;
    bool fitsWhenIdle(const Resources &needs) const { return maxTasksWhenIdle(needs, 1) > 0; }
    /// Whether \a needs fit on an idle worker without accelerators.
    bool fitsWithoutAccelerators(const Resources &needs) const;
    /// The maximum capacity of any worker, for each dimension separately.
    Resources maxCapacity() const;

    std::optional<WorkerIndex> find(const WorkerId &worker) const;
    const WorkerId &idOf(WorkerIndex worker) const { return allocations_[worker.value()].first; }
    const WorkerAllocation &allocation(WorkerIndex worker) const
    {
        return allocations_[worker.value()].second;
    }
    const std::vector<std::pair<WorkerId, WorkerAllocation>> &allocations() const
    {
        return allocations_;
    }
    const std::vector<std::vector<WorkerIndex>> &racks() const { return racks_; }
    /// The total capacity of the open workers.
    const Resources &openCapacity() const { return openCapacity_; }
    /// The total capacity of all workers, open or closed.
    const Resources &totalCapacity() const { return totalCapacity_; }

private:
    struct CapacityClass
    {
        Resources capacity;
        std::int64_t workers = 0;
    };

    RackIndex rackIndex(const RackId &rack);
    void addToCapacityClass(const Resources &capacity, std::int64_t workers);

    std::vector<std::pair<WorkerId, WorkerAllocation>> allocations_;
    std::unordered_map<WorkerId, WorkerIndex> indexes_;
    std::vector<std::vector<WorkerIndex>> racks_;
    std::unordered_map<RackId, RackIndex> rackIndexes_;
    std::vector<CapacityClass> capacityClasses_;
    Resources openCapacity_;
    Resources totalCapacity_;
};

} // namespace caraway
