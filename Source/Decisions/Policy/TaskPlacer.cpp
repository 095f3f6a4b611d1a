#include "Decisions/Policy/TaskPlacer.h"

#include "Decisions/Policy/BaselinePolicy.h"
#include "Decisions/Policy/StandardPolicy.h"

#include <fmt/format.h>

namespace caraway {

namespace {

/// Key of workers that are reserved for a unit; the keys of the kinds follow it.
constexpr ReservationKey reservedForUnit(1);

ReservationKey reservedForKind(KindIndex kind)
{
    return ReservationKey(reservedForUnit.value() + 1 + kind.value());
}

/// Assumed when the caller declares no expected run time.
constexpr Milliseconds defaultRunTime(600'000);

/// The part of \a quota that is proportional to \a shard within \a fleet, rounded up.
template<class Amount>
Amount scaledQuota(Amount quota, Amount shard, Amount fleet)
{
    if (fleet.count() <= 0 || shard >= fleet)
        return quota;
    const double part = static_cast<double>(shard.count()) / static_cast<double>(fleet.count());
    return Amount(static_cast<std::int64_t>(static_cast<double>(quota.count()) * part) + 1);
}

Resources scaledQuota(const Resources &quota, const Resources &shard, const Resources &fleet)
{
    return {scaledQuota(quota.processors, shard.processors, fleet.processors),
            scaledQuota(quota.memory, shard.memory, fleet.memory),
            scaledQuota(quota.accelerators, shard.accelerators, fleet.accelerators),
            scaledQuota(quota.slots, shard.slots, fleet.slots)};
}

Resources multiplied(const Resources &each, std::uint32_t count)
{
    return {each.processors * count, each.memory * count, each.accelerators * count,
            each.slots * count};
}

Refusal neverFits(std::string message)
{
    return {{ErrorKind::NeverFits, std::move(message)}, {}};
}

} // namespace

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::reset()
{
    ledger_.releaseAll();
    for (std::size_t i = 0; i < ledger_.allocations().size(); ++i)
        placement_.onChanged(ledger_, WorkerIndex(i));
    queue_ = {};
    gangReservations_ = {};
    kindReservations_ = {};
    kindPlacements_.clear();
    admission_ = {};
    pendingGangs_.clear();
    queuedByKind_.clear();
    queuedTaskCount_ = 0;
    applyPreset();
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::usePreset(const Preset &preset)
{
    tables_.usePreset(preset);
    applyPreset();
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setFleetCapacity(const Resources &capacity)
{
    if (fleetCapacity_ == capacity)
        return;
    fleetCapacity_ = capacity;
    quotasChanged_ = true;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::applyPreset()
{
    for (const KindPolicy &kind : tables_.preset().kinds)
        queue_.setKind(tables_.kindIndex(kind.kind), {kind.weight, kind.urgent});
    queue_.setUrgentReserve(tables_.preset().urgentReserve);
    queue_.onCapacityChanged(ledger_.openCapacity());
    quotasChanged_ = true;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::applyTeamShares()
{
    const Resources shardCapacity = ledger_.totalCapacity();
    for (const TeamQuota &team : tables_.preset().teams) {
        const Resources shardQuota = scaledQuota(team.quota, shardCapacity, fleetCapacity_);
        queue_.setTeam(tables_.teamIndex(team.team), {team.weight, team.quota, shardQuota});
    }
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setWorker(const WorkerMember &worker, bool isOpen)
{
    const Resources before = ledger_.totalCapacity();
    const WorkerIndex index = ledger_.setWorker(worker);
    setOpen(index, isOpen);
    if (before == ledger_.totalCapacity())
        return;
    onAllocationChanged(index, ledger_.allocation(index).reservedFor);
    queue_.onCapacityChanged(ledger_.openCapacity());
    quotasChanged_ = true;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::closeWorker(const WorkerId &worker)
{
    if (const std::optional<WorkerIndex> index = ledger_.find(worker))
        setOpen(*index, false);
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::removeWorker(const WorkerId &worker)
{
    const std::optional<WorkerIndex> index = ledger_.find(worker);
    if (!index)
        return;
    setOpen(*index, false);
    // The entry in the ledger stays without capacity, so that worker indexes remain valid.
    const RackId rack;
    ledger_.setWorker({.id = worker, .rack = rack});
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setOpen(WorkerIndex worker, bool isOpen)
{
    if (ledger_.allocation(worker).isOpen == isOpen)
        return;
    ledger_.setOpen(worker, isOpen);
    onAllocationChanged(worker, ledger_.allocation(worker).reservedFor);
    queue_.onCapacityChanged(ledger_.openCapacity());
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setReservedFor(const std::vector<WorkerIndex> &workers,
                                        ReservationKey reservedFor)
{
    for (const WorkerIndex worker : workers) {
        const ReservationKey before = ledger_.allocation(worker).reservedFor;
        ledger_.setReservedFor(worker, reservedFor);
        onAllocationChanged(worker, before);
        onAllocationChanged(worker, reservedFor);
    }
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::endReservations(const std::vector<WorkerIndex> &workers)
{
    setReservedFor(workers, ReservationKey());
    for (const WorkerIndex worker : workers)
        queue_.onCapacityFreed(ledger_.allocation(worker).free());
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onAllocationChanged(WorkerIndex worker, ReservationKey reservedFor)
{
    if (reservedFor != reservedForUnit)
        placementFor(reservedFor).onChanged(ledger_, worker);
}

template<SchedulingPolicy Policy>
typename Policy::Placement &TaskPlacer<Policy>::placementFor(ReservationKey reservedFor)
{
    if (reservedFor == ReservationKey())
        return placement_;
    return kindPlacements_.try_emplace(reservedFor, reservedFor).first->second;
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalOf(TimePoint now, const JobSpec &spec) const
{
    const PresetName &preset = tables_.preset().name;
    const KindPolicy *kind = tables_.findKind(spec.kind);
    if (!kind) {
        return Refusal {{ErrorKind::UnknownKind,
                         fmt::format("Preset {} has no kind {}. Use one that `preset show` lists.",
                                     preset.value(), spec.kind.value())},
                        {}};
    }
    const TeamQuota *team = tables_.findTeam(spec.team);
    if (!team) {
        return Refusal {{ErrorKind::UnknownTeam,
                         fmt::format("Preset {} has no team {}. Use one that `preset show` lists.",
                                     preset.value(), spec.team.value())},
                        {}};
    }
    if (std::optional<Refusal> refusal = refusalOfSize(spec))
        return refusal;
    if (std::optional<Refusal> refusal = refusalByQuota(spec, *team))
        return refusal;
    const KindIndex kindIndex = *tables_.findKindIndex(spec.kind);
    const std::uint64_t teamIndex = tables_.findTeamIndex(spec.team)->value();
    AdmissionRequest request {now, kindIndex, *kind, spec.taskCount, 0, 0};
    if (kindIndex.value() < queuedByKind_.size()) {
        const QueuedCounts &queued = queuedByKind_[kindIndex.value()];
        request.queuedInKind = queued.tasks;
        if (teamIndex < queued.ofTeam.size())
            request.queuedOfTeam = queued.ofTeam[teamIndex];
    }
    return admission_.refusalOf(request);
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalOfSize(const JobSpec &spec) const
{
    if (!ledger_.fitsWhenIdle(spec.perTask)) {
        const std::string dimension = spec.perTask.firstExceededDimension(ledger_.maxCapacity());
        return neverFits(
                fmt::format("One task needs more {} than any worker of the shard has. "
                            "Declare smaller tasks.",
                            dimension.empty() ? "of several resources together" : dimension));
    }
    const std::int64_t wanted = spec.gang ? spec.taskCount : 1;
    const std::int64_t maxTasks = ledger_.maxTasksWhenIdle(spec.perTask, wanted);
    if (maxTasks < wanted) {
        return neverFits(
                fmt::format("The gang has {} tasks, but the shard has capacity for only {} "
                            "of this size when it is idle. Declare a smaller gang.",
                            wanted, maxTasks));
    }
    return std::nullopt;
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalByQuota(const JobSpec &spec,
                                                          const TeamQuota &team) const
{
    const Resources atOnce = multiplied(spec.perTask, spec.gang ? spec.taskCount : 1);
    const std::string dimension = atOnce.firstExceededDimension(team.quota);
    if (dimension.empty())
        return std::nullopt;
    return neverFits(fmt::format("The {} needs more {} than the quota of team {} grants. Declare "
                                 "less, or ask an operator for a larger quota.",
                                 spec.gang ? "gang" : "task", dimension, team.team.value()));
}

template<SchedulingPolicy Policy>
SchedulingUnit TaskPlacer<Policy>::makeUnit(TimePoint now, const JobSpec &spec, TaskIndex index)
{
    lastUnit_ = lastUnit_.next();
    const KindPolicy *policy = tables_.findKind(spec.kind);
    return {lastUnit_,
            {{spec.name, index}},
            {tables_.kindIndex(spec.kind), tables_.teamIndex(spec.team)},
            spec.perTask,
            now,
            policy ? now + policy->promisedWait : now,
            spec.expectedRunTime};
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::adjustQueuedCount(const WorkOwner &owner, std::ptrdiff_t change)
{
    if (queuedByKind_.size() <= owner.kind.value())
        queuedByKind_.resize(owner.kind.value() + 1);
    QueuedCounts &queued = queuedByKind_[owner.kind.value()];
    if (queued.ofTeam.size() <= owner.team.value())
        queued.ofTeam.resize(owner.team.value() + 1);
    queued.tasks += static_cast<std::size_t>(change);
    queued.ofTeam[owner.team.value()] += static_cast<std::size_t>(change);
    queuedTaskCount_ += static_cast<std::size_t>(change);
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::enqueue(TimePoint now, const JobSpec &spec, TaskIndex index)
{
    SchedulingUnit unit = makeUnit(now, spec, index);
    adjustQueuedCount(unit.owner, 1);
    if (!spec.gang) {
        queue_.push(std::move(unit));
        return;
    }
    const auto [place, isNew] = pendingGangs_.try_emplace(spec.name, std::move(unit));
    if (!isNew)
        place->second.tasks.push_back({spec.name, index});
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::queuePendingGangs()
{
    for (auto &[name, unit] : pendingGangs_)
        queue_.push(std::move(unit));
    pendingGangs_.clear();
}

template<SchedulingPolicy Policy>
bool TaskPlacer<Policy>::withdraw(const TaskId &task)
{
    queuePendingGangs();
    const std::optional<WorkOwner> owner = queue_.remove(task);
    if (!owner)
        return false;
    adjustQueuedCount(*owner, -1);
    endReservations(gangReservations_.releaseJob(task.job));
    return true;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::endSatisfiedKindReservations()
{
    for (std::size_t i = 0; i < queuedByKind_.size(); ++i) {
        const KindIndex kind(i);
        if (kindReservations_.hasReservation(kind)
            && (queuedByKind_[i].tasks == 0 || !queue_.isUnderserved(kind))) {
            endReservations(kindReservations_.release(kind));
        }
    }
}

template<SchedulingPolicy Policy>
std::vector<PlacedTask> TaskPlacer<Policy>::place(TimePoint now)
{
    std::vector<PlacedTask> placed;
    queuePendingGangs();
    if (std::exchange(quotasChanged_, false))
        applyTeamShares();
    endSatisfiedKindReservations();
    queue_.beginPass();
    while (placed.size() < maxPlacedInPass) {
        const SchedulingUnit *unit = queue_.next();
        if (!unit)
            break;
        const std::vector<WorkerIndex> workers = chooseWithReservation(now, *unit);
        if (workers.empty())
            blockUnit(now, *unit);
        else
            reserve(now, queue_.popNext(), workers, placed);
    }
    for (std::size_t i = 0; i < queuedByKind_.size(); ++i)
        admission_.onPassEnded(now, KindIndex(i), queuedByKind_[i].tasks);
    return placed;
}

template<SchedulingPolicy Policy>
std::vector<WorkerIndex> TaskPlacer<Policy>::choose(TimePoint now, const SchedulingUnit &unit)
{
    if (unit.isGang())
        return placement_.chooseForGang(ledger_, unit.needsPerTask, unit.tasks.size());
    std::optional<WorkerIndex> worker;
    if (kindReservations_.hasReservation(unit.owner.kind)) {
        worker = placementFor(reservedForKind(unit.owner.kind)).choose(ledger_, unit.needsPerTask);
    }
    if (!worker)
        worker = placement_.choose(ledger_, unit.needsPerTask);
    if (!worker)
        worker = gangReservations_.backfill(now, ledger_, unit);
    return worker ? std::vector {*worker} : std::vector<WorkerIndex>();
}

template<SchedulingPolicy Policy>
std::vector<WorkerIndex> TaskPlacer<Policy>::chooseWithReservation(TimePoint now,
                                                                   const SchedulingUnit &unit)
{
    const std::vector<WorkerIndex> *reserved = gangReservations_.reservedWorkers(unit.number);
    if (!reserved)
        return choose(now, unit);
    setReservedFor(*reserved, ReservationKey());
    std::vector<WorkerIndex> workers = choose(now, unit);
    const bool allOpen = std::ranges::all_of(
            *reserved, [&](WorkerIndex worker) { return ledger_.allocation(worker).isOpen; });
    if (!workers.empty() || !allOpen)
        endReservations(gangReservations_.release(unit.number));
    else
        setReservedFor(*reserved, reservedForUnit);
    return workers;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::blockUnit(TimePoint now, const SchedulingUnit &unit)
{
    const bool hasWaitedLong = now - unit.queuedAt >= (unit.deadline - unit.queuedAt) / 2;
    const bool isUnderserved = queue_.isUnderserved(unit.owner.kind);
    std::vector<WorkerIndex> reserved;
    if (isUnderserved || hasWaitedLong)
        reserved = gangReservations_.reserve(now, ledger_, unit);
    setReservedFor(reserved, reservedForUnit);
    if (isUnderserved && reserved.empty() && !unit.isGang()) {
        if (const auto worker = kindReservations_.reserve(ledger_, unit, queue_.unitsWithinShare()))
            setReservedFor({*worker}, reservedForKind(unit.owner.kind));
    }
    queue_.blockCurrent();
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::reserve(TimePoint now, const SchedulingUnit &unit,
                                 const std::vector<WorkerIndex> &workers,
                                 std::vector<PlacedTask> &placed)
{
    const bool isDeclared = unit.expectedRunTime > Milliseconds();
    const TimePoint end = now + (isDeclared ? unit.expectedRunTime : defaultRunTime);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!ledger_.reserve(workers[i], unit.needsPerTask))
            std::abort();
        ledger_.expectBusyUntil(workers[i], end);
        onAllocationChanged(workers[i], ledger_.allocation(workers[i]).reservedFor);
        placed.push_back({{unit.tasks[i]}, ledger_.idOf(workers[i])});
    }
    queue_.onAllocated({unit.owner, unit.needs()});
    admission_.onStarted(unit.owner.kind, workers.size());
    adjustQueuedCount(unit.owner, -static_cast<std::ptrdiff_t>(workers.size()));
}

template<SchedulingPolicy Policy>
TaskAllocation TaskPlacer<Policy>::allocationOf(const JobSpec &spec)
{
    return {{tables_.kindIndex(spec.kind), tables_.teamIndex(spec.team)}, spec.perTask};
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onDiscovered(const WorkerId &worker, const JobSpec &spec,
                                      TaskIndex /*index*/)
{
    // Tasks that run on a worker removed from the worker list still count as allocated.
    std::optional<WorkerIndex> index = ledger_.find(worker);
    if (!index)
        index = ledger_.setWorker({.id = worker});
    ledger_.reserveDiscovered(*index, spec.perTask);
    onAllocationChanged(*index, ledger_.allocation(*index).reservedFor);
    queue_.onAllocated(allocationOf(spec));
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onReleased(const WorkerId &worker, const JobSpec &spec,
                                    TaskIndex /*index*/)
{
    const std::optional<WorkerIndex> index = ledger_.find(worker);
    if (!index)
        return;
    ledger_.release(*index, spec.perTask);
    onAllocationChanged(*index, ledger_.allocation(*index).reservedFor);
    queue_.onReleased(allocationOf(spec), ledger_.allocation(*index).free());
}

template class TaskPlacer<BaselinePolicy>;
template class TaskPlacer<StandardPolicy>;

} // namespace caraway
