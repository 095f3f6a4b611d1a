#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caraway {

/// Position of a worker in the ledger of its shard, from 0; it never changes.
using WorkerIndex = NumberId<struct WorkerIndexTag>;
/// Position of a rack in the ledger of its shard, from 0.
using RackIndex = NumberId<struct RackIndexTag>;

/// What the holder of a shard has reserved on each of its workers.
///
/// A reservation is made before a start is sent and released only when the worker
/// is known not to run the task; a timeout releases nothing.
class Ledger
{
public:
    struct Account
    {
        Resources capacity;
        Resources reserved;
        RackIndex rack;
        /// Whether new work may be placed here.
        bool isOpen = false;
        /// Whether the room that falls free here is kept for a task that waits for it.
        bool isHeld = false;
        /// When the work that is placed here is expected to have ended.
        TimePoint busyUntil;

        Resources free() const { return capacity - reserved; }
    };

    /// Takes in a worker's capacity and rack; the worker is closed when it is new.
    WorkerIndex setWorker(const WorkerMember &worker);
    void setOpen(WorkerIndex worker, bool isOpen);
    void setHeld(WorkerIndex worker, bool isHeld);
    /// Drops every reservation and hold and closes every worker.
    void clearReservations();

    /// Reserves \a needs; false, and nothing changes, when there is no room.
    bool reserve(WorkerIndex worker, const Resources &needs);
    /// Notes when work that was reserved on \a worker is expected to end.
    void expectBusyUntil(WorkerIndex worker, TimePoint end);
    /// Reserves what a worker already runs, whether or not there seems to be room.
    void reserveFound(WorkerIndex worker, const Resources &needs);
    void release(WorkerIndex worker, const Resources &needs);

    /// How many tasks of this size the whole shard could hold when it is empty, up to \a enough.
    std::int64_t mostThatCouldEverFit(const Resources &needs, std::int64_t enough) const;
    bool couldEverFit(const Resources &needs) const { return mostThatCouldEverFit(needs, 1) > 0; }
    /// Whether a worker without accelerators could hold \a needs when it is empty.
    bool couldFitWithoutAccelerators(const Resources &needs) const;
    /// The greatest capacity in each dimension, whichever worker has it.
    Resources greatestCapacity() const;

    std::optional<WorkerIndex> find(const WorkerId &worker) const;
    const WorkerId &idOf(WorkerIndex worker) const { return accounts_[worker.value()].first; }
    const Account &account(WorkerIndex worker) const { return accounts_[worker.value()].second; }
    const std::vector<std::pair<WorkerId, Account>> &accounts() const { return accounts_; }
    const std::vector<std::vector<WorkerIndex>> &racks() const { return racks_; }
    /// Capacity of all open workers together.
    const Resources &openCapacity() const { return openCapacity_; }
    /// Capacity of all workers together, open or not.
    const Resources &capacityOfAll() const { return capacityOfAll_; }

private:
    struct CapacityClass
    {
        Resources capacity;
        std::int64_t workers = 0;
    };

    RackIndex rackIndex(const RackId &rack);
    void countCapacity(const Resources &capacity, std::int64_t workers);

    std::vector<std::pair<WorkerId, Account>> accounts_;
    std::unordered_map<WorkerId, WorkerIndex> indexes_;
    std::vector<std::vector<WorkerIndex>> racks_;
    std::unordered_map<RackId, RackIndex> rackIndexes_;
    std::vector<CapacityClass> capacityClasses_;
    Resources openCapacity_;
    Resources capacityOfAll_;
};

} // namespace caraway
