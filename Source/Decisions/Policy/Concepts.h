#pragma once

#include "Decisions/Ledger.h"
#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/Refusal.h"
#include "Decisions/Policy/RetryBudget.h"
#include "Decisions/Policy/WaitingUnit.h"
#include "Decisions/Preset.h"

#include <concepts>
#include <optional>
#include <vector>

/// What a scheduling policy must offer. Each concept has a plain model and a real one.
namespace caraway {

/// Decides which waiting unit is placed next. A queue is told what runs and what falls free.
template<class Q>
concept TaskQueue = requires(Q queue, const Q &constQueue, WaitingUnit unit, const TaskId &task,
                             const Occupancy &occupancy, KindIndex kind, TeamIndex team)
{
    queue.push(std::move(unit));
    /// Takes a waiting task out; nothing when it does not wait.
    {
        queue.remove(task)
        } -> std::same_as<std::optional<WorkOwner>>;
    queue.beginRound();
    /// The unit to try next in this round; nothing when there is none left to try.
    {
        queue.next()
        } -> std::same_as<const WaitingUnit *>;
    /// The unit that next() gave finds no room now.
    queue.setAside();
    /// Whether \a kind runs less than its share.
    {
        constQueue.isOwed(kind)
        } -> std::same_as<bool>;
    /// How many units like the one that next() gave its kind could start within its share.
    {
        constQueue.owedUnits()
        } -> std::same_as<std::size_t>;
    /// Takes out the unit that next() gave.
    {
        queue.popNext()
        } -> std::same_as<WaitingUnit>;
    queue.onOccupied(occupancy);
    /// \a free is what the worker has free after the release.
    queue.onReleased(occupancy, Resources());
    /// A worker that has so much free may be used again.
    queue.onRoomFreed(Resources());
    /// Workers came, went or changed; \a capacity is that of all open ones.
    queue.onRoomChanged(Resources());
    queue.setKind(kind, KindShare());
    queue.setTeam(team, TeamShare());
    /// The part of each resource that only urgent kinds may use.
    queue.setUrgentReserve(Percent());
    {
        constQueue.size()
        } -> std::same_as<std::size_t>;
};

/// Chooses workers with room.
template<class P>
concept Placement
        = std::constructible_from<P, HoldKey> && requires(P placement, const P &constPlacement,
                                                          const Ledger &ledger,
                                                          const Resources &needs,
                                                          WorkerIndex worker, std::size_t count)
{
    /// The account of \a worker changed.
    placement.onChanged(ledger, worker);
    {
        constPlacement.choose(ledger, needs)
        } -> std::same_as<std::optional<WorkerIndex>>;
    /// A worker for each of \a count tasks, or none at all.
    {
        constPlacement.chooseForGang(ledger, needs, count)
        } -> std::same_as<std::vector<WorkerIndex>>;
};

/// A job whose admission is asked for, with what waits already.
struct AdmissionQuestion
{
    TimePoint now;
    KindIndex kind;
    const KindPolicy &policy;
    std::size_t taskCount = 0;
    std::size_t waitingInKind = 0;
    std::size_t waitingOfTeam = 0;
};

/// Refuses work that could run but not in time.
template<class A>
concept Admission
        = requires(A admission, const A &constAdmission, const AdmissionQuestion &question,
                   TimePoint now, KindIndex kind, std::size_t count)
{
    {
        constAdmission.refusalOf(question)
        } -> std::same_as<std::optional<Refusal>>;
    admission.onStarted(kind, count);
    /// Called for each kind in each round, with the number of its tasks that still wait.
    admission.onRoundEnded(now, kind, count);
};

/// Keeps room that falls free for units that would otherwise be overtaken for ever.
template<class H>
concept RoomHolder
        = requires(H holder, const H &constHolder, const Ledger &ledger, const WaitingUnit &unit,
                   TimePoint now, UnitNumber number, const JobName &job)
{
    /// The workers whose free room is to be kept for \a unit, which found no room.
    {
        holder.hold(now, ledger, unit)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// The workers held for that unit.
    {
        constHolder.heldFor(number)
        } -> std::same_as<const std::vector<WorkerIndex> *>;
    /// Ends the hold for that unit and returns its workers.
    {
        holder.letGo(number)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// Ends every hold for units of that job and returns their workers.
    {
        holder.letGoJob(job)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// A held worker that \a unit may use without delaying those that it is held for.
    {
        constHolder.backfill(now, ledger, unit)
        } -> std::same_as<std::optional<WorkerIndex>>;
};

/// Keeps workers for kinds that run less than their share.
template<class H>
concept ShareHolder = requires(H holder, const H &constHolder, const Ledger &ledger,
                               const WaitingUnit &unit, KindIndex kind, std::size_t owedUnits)
{
    /// One more worker to hold for the kind of \a unit, which found no room.
    {
        holder.hold(ledger, unit, owedUnits)
        } -> std::same_as<std::optional<WorkerIndex>>;
    {
        holder.letGo(kind)
        } -> std::same_as<std::vector<WorkerIndex>>;
    {
        constHolder.holdsFor(kind)
        } -> std::same_as<bool>;
};

/// Everything that varies in how a shard schedules.
template<class P>
concept SchedulingPolicy = requires
{
    requires TaskQueue<typename P::Queue>;
    requires Placement<typename P::Placement>;
    requires Admission<typename P::Admission>;
    requires RoomHolder<typename P::Holder>;
    requires ShareHolder<typename P::KindHolder>;
    requires Ejection<typename P::Ejection>;
    requires RetryPolicy<typename P::Retries>;
};

} // namespace caraway
