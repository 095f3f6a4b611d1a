#include "Cell/WorkerFleet.h"
#include "Cell/WorkerLimits.h"

namespace caraway::cell {

namespace {

/// For network delay.
constexpr Milliseconds recoveryMargin {300};
/// Bounds the record of closed workers; further workers stay open.
constexpr std::size_t maxClosedJobs = 2000;

} // namespace

Roster WorkerFleet::currentRoster() const
{
    Roster roster;
    std::size_t closedJobs = 0;
    for (const auto &[id, worker] : workers_) {
        if (!belongsInRoster(worker))
            continue;
        roster.workers.insert(roster.workers.end(), id);
        if (!shouldBeClosed(worker))
            continue;
        std::set<JobId> jobs = worker.closedWithJobs.value_or(std::set<JobId>());
        for (const Placement &placement : worker.placements)
            jobs.insert(placement.task.job);
        closedJobs += jobs.size();
        if (closedJobs <= maxClosedJobs)
            roster.closed.emplace(id, std::move(jobs));
    }
    return roster;
}

void WorkerFleet::setRoster(const Roster &roster)
{
    for (auto &[id, worker] : workers_) {
        worker.isInRoster = roster.workers.contains(id);
        worker.closedWithJobs.reset();
    }
    for (const auto &[id, jobs] : roster.closed) {
        if (CellWorker *worker = findWorker(id))
            worker->closedWithJobs = jobs;
    }
}

void WorkerFleet::restrictRoster(const Roster &roster)
{
    for (auto &[id, worker] : workers_)
        worker.isInRoster = worker.isInRoster && roster.workers.contains(id);
    for (const auto &[id, jobs] : roster.closed) {
        if (CellWorker *worker = findWorker(id))
            worker->closedWithJobs = jobs;
    }
}

/// Whether the worker may have ended: it has answered nothing for as long as a heartbeat may take.
bool WorkerFleet::isSilent(const CellWorker &worker) const
{
    return worker.unansweredCalls > 0
            && context_.now() - worker.lastReplyAt >= heartbeatWait + heartbeatMargin;
}

/// The next holder has to read each worker of the roster before it starts older jobs, so workers
/// that may not answer it are left out once they are known to have no runs.
bool WorkerFleet::belongsInRoster(const CellWorker &worker) const
{
    if (!worker.placements.empty() || !worker.completions.areAllRecorded())
        return true;
    // An earlier holder may still act, even on a worker that was read and has restarted since.
    if (worker.isInRoster && !recovered_)
        return true;
    if (!worker.isListed || worker.entry->draining)
        return false;
    if (isSilent(worker)) {
        // In an outage of the store it could not be added again when it answers.
        return worker.isInRoster && !context_.storeHealth().isServing();
    }
    return worker.isInRoster || worker.isStateRead;
}

/// A worker that may not answer the next holder is closed to starts, so that only the jobs of its
/// runs wait for it.
bool WorkerFleet::shouldBeClosed(const CellWorker &worker) const
{
    const bool isClosed = worker.closedWithJobs.has_value();
    if (!recovered_)
        return isClosed && !worker.isStateRead;
    const bool maySkipWorker = !worker.isListed || worker.entry->draining
            || (isSilent(worker) && (isClosed || context_.storeHealth().isServing()));
    // The next holder has to read unrecorded completions from the worker.
    const bool areJobsKnown = worker.isStateRead && worker.completions.areAllRecorded();
    return maySkipWorker && (isClosed || areJobsKnown);
}

std::vector<WorkerId> WorkerFleet::unreadWorkers() const
{
    std::vector<WorkerId> ids;
    for (const auto &[id, worker] : workers_) {
        if (!worker.isStateRead)
            ids.push_back(id);
    }
    return ids;
}

Resources WorkerFleet::unknownUse(const CellWorker &worker) const
{
    const bool isUnread = !recovered_ && worker.isInRoster && !worker.isStateRead;
    if (!isUnread && worker.orphanedRuns == 0)
        return {};
    if (worker.entry)
        return worker.entry->capacity;
    Resources largest;
    for (const auto &[id, other] : workers_) {
        if (!other.entry)
            continue;
        const Resources &capacity = other.entry->capacity;
        largest.processors = std::max(largest.processors, capacity.processors);
        largest.memory = std::max(largest.memory, capacity.memory);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    return largest;
}

bool WorkerFleet::areEarlierLeasesOver(TimePoint time) const
{
    const Milliseconds lease = context_.settings().workerLease;
    // A reachable worker has the same time to be read, however early the earlier holder ended.
    const TimePoint leasesStart = std::max(earlierRenewalsEnd_, termStartedAt_);
    return time - leasesStart > lease + lease / clockDriftDivisor + recoveryMargin;
}

void WorkerFleet::checkRecovery()
{
    if (recovered_)
        return;
    // A later holder may have read a worker since, while its lease lasted.
    const bool isTimedOut = areEarlierLeasesOver(confirmedAt_);
    std::size_t unreadInRoster = 0;
    bool mayLeaseBeRenewed = false;
    isOpenWorkerUnread_ = false;
    jobsOnUnreadWorkers_.clear();
    for (auto &[id, worker] : workers_) {
        // A worker that was read may be a later incarnation than the one that a later holder has
        // read.
        worker.areEarlierRunsKnown = worker.areEarlierRunsKnown
                || (worker.isStateRead && isConfirmedSinceRead(worker));
        if (!worker.isInRoster || worker.areEarlierRunsKnown)
            continue;
        ++unreadInRoster;
        // A worker that was read in part answers, and this holder renews its lease.
        mayLeaseBeRenewed = mayLeaseBeRenewed || worker.isExpiryUnconfirmed(confirmedAt_)
                || (worker.isPartlyRead && !worker.isLeaseExpired(confirmedAt_));
        if (worker.closedWithJobs)
            jobsOnUnreadWorkers_.insert(worker.closedWithJobs->begin(),
                                        worker.closedWithJobs->end());
        else
            isOpenWorkerUnread_ = true;
    }
    if (unreadInRoster > 0 && (!isTimedOut || mayLeaseBeRenewed))
        return;
    recovered_ = true;
    context_.log("event=workers_recovered after_ms={} unread={} workers={}",
                 (context_.now() - termStartedAt_).count(), unreadInRoster, workers_.size());
}

} // namespace caraway::cell
