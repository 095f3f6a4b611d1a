#pragma once

#include "Core/Clock.h"
#include "Decisions/AllocationLedger.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Policy/Concepts.h"
#include "Decisions/Policy/PolicyTables.h"
#include "Decisions/Preset.h"

#include <map>
#include <optional>
#include <vector>

namespace caraway {

/// Identifies a queued task to the code that starts it.
struct QueuedTask
{
    TaskId task;
};

/// A task with the worker that was chosen for it and on which its resources are allocated.
struct PlacedTask
{
    QueuedTask queued;
    WorkerId worker;
};

/// Decides for one shard which jobs are accepted, which task is placed next and on which worker. It
/// maintains the allocation ledger; the code that starts the tasks reports those discovered on
/// workers and those that released their resources.
template<SchedulingPolicy Policy>
class TaskPlacer
{
public:
    /// Limit on the tasks placed in one scheduling pass, so that a pass does not delay other
    /// decisions for long. The last unit of a pass may exceed it.
    static constexpr std::size_t maxPlacedInPass = 512;

    /// Removes all tasks, allocations and reservations; the workers stay and are closed.
    void reset();
    void usePreset(const Preset &preset);
    /// Sets the capacity of the whole fleet; the shard may allocate its proportion of each quota.
    void setFleetCapacity(const Resources &capacity);

    void setWorker(const WorkerMember &worker, bool isOpen);
    void closeWorker(const WorkerId &worker);
    /// Removes the capacity of a worker that was removed from the worker list.
    void removeWorker(const WorkerId &worker);

    /// Why \a spec is refused; nullopt when it is accepted.
    std::optional<Refusal> refusalOf(TimePoint now, const JobSpec &spec) const;
    /// Queues a task, for the first time or for a retry. Tasks of a gang that are queued between
    /// two scheduling passes form one unit and are placed together.
    void enqueue(TimePoint now, const JobSpec &spec, TaskIndex index);
    /// Removes a task from the queue; false when it is not queued.
    bool withdraw(const TaskId &task);
    /// Runs a scheduling pass: chooses workers for the queued tasks that fit, up to
    /// maxPlacedInPass, and allocates their resources.
    std::vector<PlacedTask> place(TimePoint now);

    /// A task that was not placed by this object is running on \a worker.
    void onDiscovered(const WorkerId &worker, const JobSpec &spec, TaskIndex index);
    /// A task no longer uses its resources on \a worker.
    void onReleased(const WorkerId &worker, const JobSpec &spec, TaskIndex index);

    std::size_t queuedTaskCount() const { return queuedTaskCount_; }
    const AllocationLedger &ledger() const { return ledger_; }

private:
    struct QueuedCounts
    {
        std::size_t tasks = 0;
        std::vector<std::size_t> ofTeam;
    };

    std::optional<Refusal> refusalOfSize(const JobSpec &spec) const;
    std::optional<Refusal> refusalByQuota(const JobSpec &spec, const TeamQuota &team) const;
    void applyPreset();
    void applyTeamShares();
    void setOpen(WorkerIndex worker, bool isOpen);
    void setReservedFor(const std::vector<WorkerIndex> &workers, ReservationKey reservedFor);
    void endReservations(const std::vector<WorkerIndex> &workers);
    void onAllocationChanged(WorkerIndex worker, ReservationKey reservedFor);
    typename Policy::Placement &placementFor(ReservationKey reservedFor);
    void endSatisfiedKindReservations();
    SchedulingUnit makeUnit(TimePoint now, const JobSpec &spec, TaskIndex index);
    void adjustQueuedCount(const WorkOwner &owner, std::ptrdiff_t change);
    void queuePendingGangs();
    std::vector<WorkerIndex> choose(TimePoint now, const SchedulingUnit &unit);
    std::vector<WorkerIndex> chooseWithReservation(TimePoint now, const SchedulingUnit &unit);
    void blockUnit(TimePoint now, const SchedulingUnit &unit);
    void reserve(TimePoint now, const SchedulingUnit &unit, const std::vector<WorkerIndex> &workers,
                 std::vector<PlacedTask> &placed);
    TaskAllocation allocationOf(const JobSpec &spec);

    PolicyTables tables_;
    AllocationLedger ledger_;
    typename Policy::Queue queue_;
    typename Policy::Placement placement_;
    typename Policy::Admission admission_;
    typename Policy::GangReservations gangReservations_;
    typename Policy::KindReservations kindReservations_;
    /// For each kind, the placement among the workers reserved for it.
    std::map<ReservationKey, typename Policy::Placement> kindPlacements_;
    /// Gangs whose tasks were queued since the last scheduling pass.
    std::map<JobName, SchedulingUnit> pendingGangs_;
    std::vector<QueuedCounts> queuedByKind_;
    std::size_t queuedTaskCount_ = 0;
    UnitNumber lastUnit_;
    Resources fleetCapacity_;
    /// Whether the shard's parts of the team quotas have to be recomputed before the next pass.
    bool quotasChanged_ = false;
};

} // namespace caraway
