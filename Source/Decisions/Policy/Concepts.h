#pragma once

#include "Decisions/AllocationLedger.h"
#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/Refusal.h"
#include "Decisions/Policy/RetryBudget.h"
#include "Decisions/Policy/SchedulingUnit.h"
#include "Decisions/Preset.h"

#include <concepts>
#include <optional>
#include <vector>

/// The concepts that a scheduling policy consists of. BaselinePolicy models each of them in the
/// simplest way, StandardPolicy in the way used in production.
namespace caraway {

/// Decides which scheduling unit is placed next. The queue is informed of each allocation and
/// release.
template<class Q>
concept TaskQueue = requires(Q queue, const Q &constQueue, SchedulingUnit unit, const TaskId &task,
                             const TaskAllocation &allocation, KindIndex kind, TeamIndex team)
{
    queue.push(std::move(unit));
    /// Removes a queued task and returns its owner; nullopt when the task is not queued.
    {
        queue.remove(task)
        } -> std::same_as<std::optional<WorkOwner>>;
    queue.beginPass();
    /// The unit to try next in this scheduling pass; null when no unit remains to be tried.
    {
        queue.next()
        } -> std::same_as<const SchedulingUnit *>;
    /// The unit that next() returned does not fit at present.
    queue.blockCurrent();
    /// Whether \a kind runs less than its share by a margin that the queue chooses.
    {
        constQueue.isUnderserved(kind)
        } -> std::same_as<bool>;
    /// How many units like the one that next() returned may start before their kind has reached
    /// its share.
    {
        constQueue.unitsWithinShare()
        } -> std::same_as<std::size_t>;
    /// Removes and returns the unit that next() returned.
    {
        queue.popNext()
        } -> std::same_as<SchedulingUnit>;
    queue.onAllocated(allocation);
    /// The second argument is the worker's free capacity after the release.
    queue.onReleased(allocation, Resources());
    /// A worker with the given free capacity is no longer reserved.
    queue.onCapacityFreed(Resources());
    /// Workers were added, removed or changed; the argument is the capacity of all open workers.
    queue.onCapacityChanged(Resources());
    queue.setKind(kind, KindShare());
    queue.setTeam(team, TeamShare());
    /// Percentage of each resource that only urgent kinds may use.
    queue.setUrgentReserve(Percent());
    {
        constQueue.size()
        } -> std::same_as<std::size_t>;
};

/// Chooses workers with sufficient free capacity.
template<class P>
concept Placement = std::constructible_from<P, ReservationKey> && requires(
        P placement, const P &constPlacement, const AllocationLedger &ledger,
        const Resources &needs, WorkerIndex worker, std::size_t count)
{
    /// The allocation, reservation or state of \a worker changed.
    placement.onChanged(ledger, worker);
    {
        constPlacement.choose(ledger, needs)
        } -> std::same_as<std::optional<WorkerIndex>>;
    /// A worker for each of \a count tasks; empty when not all of them fit.
    {
        constPlacement.chooseForGang(ledger, needs, count)
        } -> std::same_as<std::vector<WorkerIndex>>;
};

/// A job that requests admission, with the numbers of tasks that are queued already.
struct AdmissionRequest
{
    TimePoint now;
    KindIndex kind;
    const KindPolicy &policy;
    std::size_t taskCount = 0;
    std::size_t queuedInKind = 0;
    std::size_t queuedOfTeam = 0;
};

/// Refuses work that would fit the workers but could not start in time.
template<class A>
concept Admission = requires(A admission, const A &constAdmission, const AdmissionRequest &request,
                             TimePoint now, KindIndex kind, std::size_t count)
{
    {
        constAdmission.refusalOf(request)
        } -> std::same_as<std::optional<Refusal>>;
    admission.onStarted(kind, count);
    /// Called for each kind after each scheduling pass, with the number of its tasks that remain
    /// queued.
    admission.onPassEnded(now, kind, count);
};

/// Reserves capacity that becomes free for units that would otherwise starve because smaller work
/// is placed first.
template<class R>
concept GangReservationPolicy
        = requires(R reservations, const R &constReservations, const AllocationLedger &ledger,
                   const SchedulingUnit &unit, TimePoint now, UnitNumber number, const JobName &job)
{
    /// The workers to reserve for \a unit, which does not fit at present; empty when none are.
    {
        reservations.reserve(now, ledger, unit)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// The workers reserved for that unit; null when it has no reservation.
    {
        constReservations.reservedWorkers(number)
        } -> std::same_as<const std::vector<WorkerIndex> *>;
    /// Ends the reservation of that unit and returns its workers.
    {
        reservations.release(number)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// Ends the reservations of all units of that job and returns their workers.
    {
        reservations.releaseJob(job)
        } -> std::same_as<std::vector<WorkerIndex>>;
    /// A reserved worker that \a unit may use without delaying the reservation's owner.
    {
        constReservations.backfill(now, ledger, unit)
        } -> std::same_as<std::optional<WorkerIndex>>;
};

/// Reserves workers for kinds that run less than their share.
template<class R>
concept KindReservationPolicy
        = requires(R reservations, const R &constReservations, const AllocationLedger &ledger,
                   const SchedulingUnit &unit, KindIndex kind, std::size_t unitsWithinShare)
{
    /// One more worker to reserve for the kind of \a unit, which does not fit at present.
    {
        reservations.reserve(ledger, unit, unitsWithinShare)
        } -> std::same_as<std::optional<WorkerIndex>>;
    {
        reservations.release(kind)
        } -> std::same_as<std::vector<WorkerIndex>>;
    {
        constReservations.hasReservation(kind)
        } -> std::same_as<bool>;
};

/// The parts of a shard's scheduling that can be exchanged.
template<class P>
concept SchedulingPolicy = requires
{
    requires TaskQueue<typename P::Queue>;
    requires Placement<typename P::Placement>;
    requires Admission<typename P::Admission>;
    requires GangReservationPolicy<typename P::GangReservations>;
    requires KindReservationPolicy<typename P::KindReservations>;
    requires Ejection<typename P::Ejection>;
    requires RetryPolicy<typename P::Retries>;
};

} // namespace caraway
