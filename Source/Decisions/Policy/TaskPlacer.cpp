#include "Decisions/Policy/TaskPlacer.h"

#include "Decisions/Policy/BaselinePolicy.h"
#include "Decisions/Policy/StandardPolicy.h"

#include <fmt/format.h>

namespace caraway {

namespace {

/// Stands in for a run time that the caller did not declare.
constexpr Milliseconds undeclaredRunTime(600'000);

/// The part of \a quota that falls to \a here of \a whole, rounded up.
template<class Amount>
Amount partOf(Amount quota, Amount here, Amount whole)
{
    if (whole.count() <= 0 || here >= whole)
        return quota;
    const double part = static_cast<double>(here.count()) / static_cast<double>(whole.count());
    return Amount(static_cast<std::int64_t>(static_cast<double>(quota.count()) * part) + 1);
}

Resources partOf(const Resources &quota, const Resources &here, const Resources &whole)
{
    return {partOf(quota.processors, here.processors, whole.processors),
            partOf(quota.memory, here.memory, whole.memory),
            partOf(quota.accelerators, here.accelerators, whole.accelerators),
            partOf(quota.slots, here.slots, whole.slots)};
}

Resources timesOf(const Resources &each, std::uint32_t count)
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
    ledger_.clearReservations();
    for (std::size_t i = 0; i < ledger_.accounts().size(); ++i)
        placement_.onChanged(ledger_, WorkerIndex(i));
    queue_ = {};
    holder_ = {};
    admission_ = {};
    gatheredGangs_.clear();
    waiting_.clear();
    waitingCount_ = 0;
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
    queue_.onRoomChanged(ledger_.openCapacity());
    quotasChanged_ = true;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::applyTeamShares()
{
    const Resources here = ledger_.capacityOfAll();
    for (const TeamQuota &team : tables_.preset().teams) {
        const Resources quotaHere = partOf(team.quota, here, fleetCapacity_);
        queue_.setTeam(tables_.teamIndex(team.team), {team.weight, team.quota, quotaHere});
    }
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setWorker(const WorkerMember &worker, bool isOpen)
{
    const Resources before = ledger_.capacityOfAll();
    const WorkerIndex index = ledger_.setWorker(worker);
    setOpen(index, isOpen);
    if (before == ledger_.capacityOfAll())
        return;
    placement_.onChanged(ledger_, index);
    queue_.onRoomChanged(ledger_.openCapacity());
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
    // The place in the ledger stays, so that indexes hold; it counts for nothing.
    const RackId rack;
    ledger_.setWorker({.id = worker, .rack = rack});
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setOpen(WorkerIndex worker, bool isOpen)
{
    if (ledger_.account(worker).isOpen == isOpen)
        return;
    ledger_.setOpen(worker, isOpen);
    placement_.onChanged(ledger_, worker);
    queue_.onRoomChanged(ledger_.openCapacity());
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setHeld(const std::vector<WorkerIndex> &workers, bool isHeld)
{
    for (const WorkerIndex worker : workers) {
        ledger_.setHeld(worker, isHeld);
        placement_.onChanged(ledger_, worker);
    }
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
    AdmissionQuestion question {now, kindIndex, *kind, spec.taskCount, 0, 0};
    if (kindIndex.value() < waiting_.size()) {
        const Waiting &waiting = waiting_[kindIndex.value()];
        question.waitingInKind = waiting.tasks;
        if (teamIndex < waiting.ofTeam.size())
            question.waitingOfTeam = waiting.ofTeam[teamIndex];
    }
    return admission_.refusalOf(question);
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalOfSize(const JobSpec &spec) const
{
    if (!ledger_.couldEverFit(spec.perTask)) {
        const std::string dimension = spec.perTask.firstExcessOver(ledger_.greatestCapacity());
        return neverFits(
                fmt::format("One task needs more {} than any worker of the shard has. "
                            "Declare smaller tasks.",
                            dimension.empty() ? "of several resources together" : dimension));
    }
    const std::int64_t wanted = spec.gang ? spec.taskCount : 1;
    const std::int64_t most = ledger_.mostThatCouldEverFit(spec.perTask, wanted);
    if (most < wanted) {
        return neverFits(fmt::format("The gang has {} tasks, but the shard has room for {} of "
                                     "this size when it is empty. Declare a smaller gang.",
                                     wanted, most));
    }
    return std::nullopt;
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalByQuota(const JobSpec &spec,
                                                          const TeamQuota &team) const
{
    const Resources atOnce = timesOf(spec.perTask, spec.gang ? spec.taskCount : 1);
    const std::string dimension = atOnce.firstExcessOver(team.quota);
    if (dimension.empty())
        return std::nullopt;
    return neverFits(fmt::format("The {} needs more {} than the quota of team {} grants. Declare "
                                 "less, or ask an operator for a larger quota.",
                                 spec.gang ? "gang" : "task", dimension, team.team.value()));
}

template<SchedulingPolicy Policy>
WaitingUnit TaskPlacer<Policy>::makeUnit(TimePoint now, const JobSpec &spec, TaskIndex index)
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
void TaskPlacer<Policy>::countWaiting(const WorkOwner &owner, std::ptrdiff_t change)
{
    if (waiting_.size() <= owner.kind.value())
        waiting_.resize(owner.kind.value() + 1);
    Waiting &waiting = waiting_[owner.kind.value()];
    if (waiting.ofTeam.size() <= owner.team.value())
        waiting.ofTeam.resize(owner.team.value() + 1);
    waiting.tasks += static_cast<std::size_t>(change);
    waiting.ofTeam[owner.team.value()] += static_cast<std::size_t>(change);
    waitingCount_ += static_cast<std::size_t>(change);
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::enqueue(TimePoint now, const JobSpec &spec, TaskIndex index)
{
    WaitingUnit unit = makeUnit(now, spec, index);
    countWaiting(unit.owner, 1);
    if (!spec.gang) {
        queue_.push(std::move(unit));
        return;
    }
    const auto [place, isNew] = gatheredGangs_.try_emplace(spec.name, std::move(unit));
    if (!isNew)
        place->second.tasks.push_back({spec.name, index});
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::queueGatheredGangs()
{
    for (auto &[name, unit] : gatheredGangs_)
        queue_.push(std::move(unit));
    gatheredGangs_.clear();
}

template<SchedulingPolicy Policy>
bool TaskPlacer<Policy>::withdraw(const TaskId &task)
{
    queueGatheredGangs();
    const std::optional<WorkOwner> owner = queue_.remove(task);
    if (!owner)
        return false;
    countWaiting(*owner, -1);
    setHeld(holder_.letGoJob(task.job), false);
    return true;
}

template<SchedulingPolicy Policy>
std::vector<PlacedTask> TaskPlacer<Policy>::place(TimePoint now)
{
    std::vector<PlacedTask> placed;
    queueGatheredGangs();
    if (std::exchange(quotasChanged_, false))
        applyTeamShares();
    queue_.beginRound();
    while (placed.size() < maxPlacedInRound) {
        const WaitingUnit *unit = queue_.next();
        if (!unit)
            break;
        const std::vector<WorkerIndex> workers = chooseWithHeld(now, *unit);
        if (workers.empty())
            setAside(now, *unit);
        else
            reserve(now, queue_.popNext(), workers, placed);
    }
    for (std::size_t i = 0; i < waiting_.size(); ++i)
        admission_.onRoundEnded(now, KindIndex(i), waiting_[i].tasks);
    return placed;
}

template<SchedulingPolicy Policy>
std::vector<WorkerIndex> TaskPlacer<Policy>::choose(TimePoint now, const WaitingUnit &unit)
{
    if (unit.isGang())
        return placement_.chooseForGang(ledger_, unit.needsPerTask, unit.tasks.size());
    std::optional<WorkerIndex> worker = placement_.choose(ledger_, unit.needsPerTask);
    if (!worker)
        worker = holder_.backfill(now, ledger_, unit);
    return worker ? std::vector {*worker} : std::vector<WorkerIndex>();
}

template<SchedulingPolicy Policy>
std::vector<WorkerIndex> TaskPlacer<Policy>::chooseWithHeld(TimePoint now, const WaitingUnit &unit)
{
    const std::vector<WorkerIndex> *held = holder_.heldFor(unit.number);
    if (!held)
        return choose(now, unit);
    setHeld(*held, false);
    std::vector<WorkerIndex> workers = choose(now, unit);
    const bool allOpen = std::ranges::all_of(
            *held, [&](WorkerIndex worker) { return ledger_.account(worker).isOpen; });
    if (!workers.empty() || !allOpen)
        holder_.letGo(unit.number);
    else
        setHeld(*held, true);
    return workers;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setAside(TimePoint now, const WaitingUnit &unit)
{
    const bool hasWaitedLong = now - unit.since >= (unit.deadline - unit.since) / 2;
    if (queue_.isOwed() || hasWaitedLong)
        setHeld(holder_.hold(now, ledger_, unit), true);
    queue_.setAside();
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::reserve(TimePoint now, const WaitingUnit &unit,
                                 const std::vector<WorkerIndex> &workers,
                                 std::vector<PlacedTask> &placed)
{
    const bool isDeclared = unit.expectedRunTime > Milliseconds();
    const TimePoint end = now + (isDeclared ? unit.expectedRunTime : undeclaredRunTime);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (!ledger_.reserve(workers[i], unit.needsPerTask))
            std::abort();
        ledger_.expectBusyUntil(workers[i], end);
        placement_.onChanged(ledger_, workers[i]);
        placed.push_back({{unit.tasks[i]}, ledger_.idOf(workers[i])});
    }
    queue_.onOccupied({unit.owner, unit.needs()});
    admission_.onStarted(unit.owner.kind, workers.size());
    countWaiting(unit.owner, -static_cast<std::ptrdiff_t>(workers.size()));
}

template<SchedulingPolicy Policy>
Occupancy TaskPlacer<Policy>::occupancyOf(const JobSpec &spec)
{
    return {{tables_.kindIndex(spec.kind), tables_.teamIndex(spec.team)}, spec.perTask};
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onFound(const WorkerId &worker, const JobSpec &spec, TaskIndex /*index*/)
{
    // A worker that the list does not name any more still counts what it was found to run.
    std::optional<WorkerIndex> index = ledger_.find(worker);
    if (!index)
        index = ledger_.setWorker({.id = worker});
    ledger_.reserveFound(*index, spec.perTask);
    placement_.onChanged(ledger_, *index);
    queue_.onOccupied(occupancyOf(spec));
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onReleased(const WorkerId &worker, const JobSpec &spec,
                                    TaskIndex /*index*/)
{
    const std::optional<WorkerIndex> index = ledger_.find(worker);
    if (!index)
        return;
    ledger_.release(*index, spec.perTask);
    placement_.onChanged(ledger_, *index);
    queue_.onReleased(occupancyOf(spec), ledger_.account(*index).free());
}

template class TaskPlacer<BaselinePolicy>;
template class TaskPlacer<StandardPolicy>;

} // namespace caraway
