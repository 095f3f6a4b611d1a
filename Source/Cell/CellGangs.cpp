#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Capacity is reserved for a gang that does not fit yet only while the gangs ahead of it that do
/// not fit either need at most this fraction (one divided by the constant) of the workers'
/// processors. More reservations would leave capacity idle that smaller work can use.
constexpr std::int64_t gangReservationDivisor = 7;
/// Tickets are requested when this percentage of the gang fits into free capacity: more capacity
/// becomes free while the request is in flight.
constexpr std::int64_t ticketRequestPercent = 80;
constexpr std::int64_t percent = 100;

} // namespace

/// Approved workers that can run members, those with a valid ticket and the most free capacity
/// first.
std::vector<CellScheduler::GangCapacity>
CellScheduler::gangCapacities(const StartCandidate &candidate)
{
    const CellStep &step = *candidate.step;
    std::vector<GangCapacity> capacities;
    const auto mostCrashes = std::max_element(
            step.tasks.begin(), step.tasks.end(), [](const CellTask &a, const CellTask &b) {
                return a.crashes().ownCount() < b.crashes().ownCount();
            });
    for (const auto &[option, hasTicket] : permittedWorkers(candidate)) {
        const std::int64_t total = step.spec.need.timesIn(option->reclaimable, step.spec.tasks);
        if (total > 0)
            capacities.push_back({option, fittingTasks(*option, step), total, hasTicket,
                                  crashPenalty(*option, step.key.job, mostCrashes->crashes())});
    }
    std::sort(capacities.begin(), capacities.end(),
              [&](const GangCapacity &a, const GangCapacity &b) {
                  if ((a.free > 0 && a.hasTicket) != (b.free > 0 && b.hasTicket))
                      return a.free > 0 && a.hasTicket;
                  if (a.crashPenalty != b.crashPenalty)
                      return a.crashPenalty < b.crashPenalty;
                  if (a.free != b.free)
                      return a.free > b.free;
                  if (a.option->free.processors != b.option->free.processors)
                      return a.option->free.processors > b.option->free.processors;
                  return a.option->position < b.option->position;
              });
    return capacities;
}

/// Whether the listed workers could run the gang if only long-running tasks ran beside it.
bool CellScheduler::fitsWhenOthersEnd(const StartCandidate &candidate) const
{
    const CellStep &step = *candidate.step;
    const auto needed = static_cast<std::int64_t>(step.tasks.size());
    const std::int64_t mostPerWorker
            = step.spec.maxPerWorker > 0 ? std::min(step.spec.maxPerWorker, needed) : needed;
    std::int64_t total = 0;
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!worker.isListed || worker.entry->draining || !isEligible(worker, candidate)
            || step.approvals.isDenied(worker.number()))
            continue;
        total += step.spec.need.timesIn(worker.entry->capacity - worker.longRunningResources(),
                                        mostPerWorker);
        if (total >= needed)
            return true;
    }
    return false;
}

/// Reserves capacity on these workers against candidates that come later in the order: the free
/// capacity first, then one more member per worker at a time, as a worker frees capacity for one
/// member much sooner than for several.
void CellScheduler::reserveForGang(const StartCandidate &candidate,
                                   const std::vector<GangCapacity> &capacities)
{
    std::int64_t missing = candidate.step->spec.tasks;
    std::vector<std::int64_t> reserved(capacities.size());
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        reserved[i] = std::min(missing, capacities[i].free);
        missing -= reserved[i];
    }
    bool hasAdded = true;
    while (missing > 0 && hasAdded) {
        hasAdded = false;
        for (std::size_t i = 0; i < capacities.size() && missing > 0; ++i) {
            if (reserved[i] >= capacities[i].total)
                continue;
            ++reserved[i];
            --missing;
            hasAdded = true;
        }
    }
    const Resources &need = candidate.step->spec.need;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        if (reserved[i] == 0)
            continue;
        for (std::int64_t member = 0; member < reserved[i]; ++member)
            capacities[i].option->free -= need;
        gangWorkers_.insert(capacities[i].option->worker->number());
    }
}

/// Approved workers for which a ticket has to be requested. Workers without free capacity are
/// included: while the request is in flight, more urgent work takes some of the free capacity and
/// other capacity becomes free.
std::vector<WorkerId>
CellScheduler::workersWithoutTicket(const std::vector<GangCapacity> &capacities)
{
    std::vector<WorkerId> workers;
    for (const GangCapacity &capacity : capacities) {
        if (!capacity.hasTicket && workers.size() < maxWorkersPerRequest)
            workers.push_back(capacity.option->worker->id());
    }
    return workers;
}

/// Starts all members when approved workers with valid tickets have free capacity for them.
/// Otherwise reserves that capacity and more, and requests tickets when most of it is free.
void CellScheduler::startGang(const StartCandidate &candidate)
{
    const CellStep &step = *candidate.step;
    const auto tasks = static_cast<std::int64_t>(step.tasks.size());
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (awaitsCrashEvidence(step, i) || awaitsCompletion(step.taskKey(i)))
            return;
    }
    // Its members start together, or the first of them would wait for the others.
    if (startableTasks(candidate) < tasks) {
        if (fitsWhenOthersEnd(candidate))
            accounts_.reserve(candidate.job->account, step.spec.need, tasks);
        return;
    }
    const std::vector<GangCapacity> capacities = gangCapacities(candidate);
    std::int64_t free = 0;
    std::int64_t startable = 0;
    for (const GangCapacity &capacity : capacities) {
        free += capacity.free;
        startable += capacity.hasTicket ? capacity.free : 0;
    }
    if (startable >= tasks) {
        placeGang(candidate, capacities);
        return;
    }
    const bool fits = free >= tasks;
    const bool nearlyFits = free * percent >= tasks * ticketRequestPercent;
    std::vector<WorkerId> withoutTicket
            = nearlyFits ? workersWithoutTicket(capacities) : std::vector<WorkerId>();
    if (!fits)
        requestGangApprovals(candidate, tasks - free, capacities, std::move(withoutTicket));
    else
        requestGangTickets(candidate, std::move(withoutTicket));
    if (!fits && !fitsWhenOthersEnd(candidate))
        return;
    if (fits || pass_.gangDemand * gangReservationDivisor <= pass_.capacity)
        reserveForGang(candidate, capacities);
    if (!fits)
        pass_.gangDemand += step.spec.need.processors * tasks;
}

void CellScheduler::placeGang(const StartCandidate &candidate,
                              const std::vector<GangCapacity> &capacities)
{
    CellStep &step = *candidate.step;
    RunNumber run;
    for (const CellTask &task : step.tasks)
        run = std::max(run, nextRun(task));
    std::size_t index = 0;
    for (const GangCapacity &capacity : capacities) {
        for (std::int64_t i = 0;
             capacity.hasTicket && i < capacity.free && index < step.tasks.size(); ++i)
            startTask(candidate, index++, run, *capacity.option);
    }
}

} // namespace caraway::cell
