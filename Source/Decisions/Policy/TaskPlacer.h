#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Ledger.h"
#include "Decisions/Policy/Concepts.h"
#include "Decisions/Policy/PolicyTables.h"
#include "Decisions/Preset.h"

#include <map>
#include <optional>
#include <vector>

namespace caraway {

/// A waiting task, as whoever starts it has to know it.
struct WaitingTask
{
    TaskId task;
};

/// A task with the worker that was chosen and reserved for it.
struct PlacedTask
{
    WaitingTask waiting;
    WorkerId worker;
};

/// Decides for one shard which jobs are taken, which task is next and where it goes. It keeps
/// the ledger; whoever starts the tasks tells it what became of each.
template<SchedulingPolicy Policy>
class TaskPlacer
{
public:
    /// Most tasks placed in one round, so that no round holds up other decisions for long.
    static constexpr std::size_t maxPlacedInRound = 512;

    /// Forgets every task and reservation; the workers stay, closed.
    void reset();
    void usePreset(const Preset &preset);
    /// The capacity of all workers of the fleet, of which quotas are a part.
    void setFleetCapacity(const Resources &capacity);

    void setWorker(const WorkerMember &worker, bool isOpen);
    void closeWorker(const WorkerId &worker);
    /// Forgets the capacity of a worker that is gone for good.
    void removeWorker(const WorkerId &worker);

    /// Why \a spec is refused; nothing when it is taken.
    std::optional<Refusal> refusalOf(TimePoint now, const JobSpec &spec) const;
    /// Queues a task, for the first time or again. The tasks of a gang that are queued between
    /// two rounds are placed at one moment.
    void enqueue(TimePoint now, const JobSpec &spec, TaskIndex index);
    /// Takes a waiting task out of the queue; false when it does not wait.
    bool withdraw(const TaskId &task);
    /// Chooses and reserves places for as many waiting tasks as find room.
    std::vector<PlacedTask> place(TimePoint now);

    /// A task was found to occupy \a worker already.
    void onFound(const WorkerId &worker, const JobSpec &spec, TaskIndex index);
    /// A task is known not to occupy \a worker any more.
    void onReleased(const WorkerId &worker, const JobSpec &spec, TaskIndex index);

    std::size_t waitingCount() const { return waitingCount_; }
    const Ledger &ledger() const { return ledger_; }

private:
    struct Waiting
    {
        std::size_t tasks = 0;
        std::vector<std::size_t> ofTeam;
    };

    std::optional<Refusal> refusalOfSize(const JobSpec &spec) const;
    std::optional<Refusal> refusalByQuota(const JobSpec &spec, const TeamQuota &team) const;
    void applyPreset();
    void applyTeamShares();
    void setOpen(WorkerIndex worker, bool isOpen);
    void setHeld(const std::vector<WorkerIndex> &workers, bool isHeld);
    WaitingUnit makeUnit(TimePoint now, const JobSpec &spec, TaskIndex index);
    void countWaiting(const WorkOwner &owner, std::ptrdiff_t change);
    void queueGatheredGangs();
    std::vector<WorkerIndex> choose(TimePoint now, const WaitingUnit &unit);
    std::vector<WorkerIndex> chooseWithHeld(TimePoint now, const WaitingUnit &unit);
    void setAside(TimePoint now, const WaitingUnit &unit);
    void reserve(TimePoint now, const WaitingUnit &unit, const std::vector<WorkerIndex> &workers,
                 std::vector<PlacedTask> &placed);
    Occupancy occupancyOf(const JobSpec &spec);

    PolicyTables tables_;
    Ledger ledger_;
    typename Policy::Queue queue_;
    typename Policy::Placement placement_;
    typename Policy::Admission admission_;
    typename Policy::Holder holder_;
    /// Gangs whose tasks were queued since the last round.
    std::map<JobName, WaitingUnit> gatheredGangs_;
    std::vector<Waiting> waiting_;
    std::size_t waitingCount_ = 0;
    UnitNumber lastUnit_;
    Resources fleetCapacity_;
    /// The teams' parts of this shard are worked out anew before the next round.
    bool quotasChanged_ = false;
};

} // namespace caraway
