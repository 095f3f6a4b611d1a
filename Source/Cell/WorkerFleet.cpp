#include "Cell/WorkerFleet.h"

namespace caraway::cell {

namespace {

/// By this much the time of day of a worker may be ahead of this instance's; both may jump.
constexpr WallTime maxClockDifference {60'000};

} // namespace

WorkerFleet::WorkerFleet(CellContext &context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

void WorkerFleet::startTerm(FencingToken token, const Roster &roster, TimePoint earlierRenewalsEnd)
{
    endTerm();
    earlierRenewalsEnd_ = earlierRenewalsEnd;
    token_ = token;
    active_ = true;
    termStartedAt_ = context_.now();
    for (const WorkerId &id : roster.workers)
        findOrAdd(id);
    setRoster(roster);
    checkRecovery();
}

void WorkerFleet::endTerm()
{
    ++term_;
    active_ = false;
    recovered_ = false;
    workers_.clear();
    outages_.clear();
    workersByAddress_.clear();
    dueHeartbeats_.clear();
    nextNumber_ = {};
    latestFirstRead_ = {};
    unansweredStarts_ = 0;
    callTotals_ = {};
}

CellWorker &WorkerFleet::findOrAdd(const WorkerId &id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end())
        return found->second;
    return workers_.emplace(id, CellWorker(id, takeNumber())).first->second;
}

const CellWorker *WorkerFleet::worker(const WorkerId &id) const
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

CellWorker *WorkerFleet::findWorker(const WorkerId &id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

void WorkerFleet::setEntry(const WorkerEntry &entry)
{
    CellWorker &worker = findOrAdd(entry.id);
    const bool becameDraining = entry.draining && !(worker.entry && worker.entry->draining);
    if (!worker.isListed || becameDraining) {
        context_.log("event=worker_{} worker={} upstream={} incarnation={} remaining_ms={}",
                     entry.draining ? "draining" : "added", entry.id.value(),
                     entry.upstream.value(), entry.incarnation.value(),
                     entry.remaining.value_or(Milliseconds()).count());
    }
    if (worker.isListed && worker.entry->capacity != entry.capacity)
        logCapacity(worker, entry.capacity);
    const std::optional<WorkerEntry> previous = std::exchange(worker.entry, entry);
    const bool keepsAnnouncement = entry.draining && !entry.remaining && previous
            && previous->draining && previous->incarnation == entry.incarnation;
    if (keepsAnnouncement) {
        worker.entry->remaining = previous->remaining;
        worker.entry->reportedAt = previous->reportedAt;
    } else if (!entry.reportedAt && worker.hasClock()) {
        worker.entry->reportedAt = worker.estimatedClock(context_.now());
    }
    worker.isListed = true;
    updateAddress(entry);
    const bool outlivedLease = entry.reportedAt && worker.expiredLeaseEnd
            && entry.incarnation == worker.incarnation
            && *entry.reportedAt > *worker.expiredLeaseEnd;
    if (outlivedLease)
        discardExpiredRuns(worker);
    if (entry.draining)
        worker.drainedIncarnation = entry.incarnation;
    if (!worker.incarnation || entry.incarnation <= *worker.incarnation
        || worker.hasEnded(entry.incarnation))
        return;
    if (isPlausible(entry.incarnation)) {
        updateIncarnation(worker, entry.incarnation);
        return;
    }
    // Another writer has left a start time in the future. Only the worker's reply shows whether it
    // has restarted; until then it receives no new work.
    worker.isStateRead = false;
    scheduleHeartbeat(worker);
}

void WorkerFleet::logCapacity(const CellWorker &worker, const Resources &capacity)
{
    Resources allocated;
    for (const Placement &placement : worker.placements)
        allocated += placement.need;
    context_.log("event=worker_capacity_changed worker={} millicores={} previous_millicores={} "
                 "memory_bytes={} accelerators={} runs={} fits={}",
                 worker.id().value(), capacity.processors.count(),
                 worker.entry->capacity.processors.count(), capacity.memory.count(),
                 capacity.accelerators.count(), worker.placements.size(),
                 allocated.fitsIn(capacity));
}

void WorkerFleet::removeEntry(const WorkerId &id)
{
    CellWorker *worker = findWorker(id);
    if (!worker)
        return;
    context_.log("event=worker_removed worker={} runs={} draining={} unanswered_calls={}",
                 id.value(), worker->placements.size(), worker->entry && worker->entry->draining,
                 worker->unansweredCalls);
    worker->isListed = false;
}

bool WorkerFleet::isPlausible(WorkerIncarnation incarnation) const
{
    const auto latestStart
            = static_cast<std::uint64_t>((context_.wallTime() + maxClockDifference).count());
    return incarnation.value() <= latestStart;
}

bool WorkerFleet::isReplaced(const Address &address, const WorkerId &worker,
                             WorkerIncarnation incarnation) const
{
    const auto row = workersByAddress_.find(address);
    if (row == workersByAddress_.end() || row->second == worker)
        return false;
    const CellWorker *next = this->worker(row->second);
    return next && next->entry && next->entry->address == address
            && incarnation < next->entry->incarnation && isPlausible(next->entry->incarnation);
}

void WorkerFleet::updateAddress(const WorkerEntry &entry)
{
    const auto [row, isNew] = workersByAddress_.try_emplace(entry.address, entry.id);
    if (isNew || row->second == entry.id)
        return;
    CellWorker *previous = findWorker(std::exchange(row->second, entry.id));
    // Entries may be read late, so the earlier worker's may follow.
    if (previous && previous->entry && previous->entry->address == entry.address
        && previous->incarnation
        && isReplaced(entry.address, previous->id(), *previous->incarnation))
        markReplaced(*previous);
}

bool WorkerFleet::isUsable(const CellWorker &worker) const
{
    // A new incarnation may have less capacity and other labels than the entry of the earlier one.
    // An entry without a start time tells nothing about this.
    const bool isEntryOutdated = worker.isListed && worker.incarnation
            && worker.entry->incarnation != WorkerIncarnation()
            && (worker.entry->incarnation < *worker.incarnation
                || worker.hasEnded(worker.entry->incarnation));
    return worker.isListed && !isEntryOutdated && worker.isStateRead && worker.isInRoster
            && isConfirmedSinceRead(worker) && !worker.closedWithJobs && !worker.entry->draining
            && worker.orphanedRuns == 0 && context_.now() >= worker.avoidUntil;
}

void WorkerFleet::tick(bool mayRenew)
{
    if (!active_)
        return;
    for (auto &[id, worker] : workers_) {
        if (worker.entry && !worker.heartbeatInFlight && context_.now() >= worker.nextHeartbeat)
            sendHeartbeat(worker, mayRenew);
        if (mayRenew)
            resendStops(worker);
        if (!worker.placements.empty() && worker.isLeaseExpired(context_.now()))
            expireLease(worker);
    }
    std::erase_if(workers_, [&](const auto &row) {
        const CellWorker &worker = row.second;
        return recovered_ && !worker.isListed && worker.placements.empty()
                && worker.completions.areAllRecorded() && !worker.heartbeatInFlight
                && !awaitsReturn(worker);
    });
    discardOldOutages();
    checkRecovery();
}

} // namespace caraway::cell
