#include "Cell/WorkerFleet.h"

#include "Cell/LeaseLimits.h"

namespace caraway::cell {

namespace {

/// How long a heartbeat waits on the worker for a completion; well below the lease that it renews.
constexpr Milliseconds heartbeatWait {1500};
/// Added to the wait for network delay and a busy worker.
constexpr Milliseconds heartbeatMargin {800};
constexpr Milliseconds heartbeatRetryInterval {250};
/// How long a lease lasts beyond the time at which the worker may leave; more than a heartbeat
/// waits and takes, so that it does not expire while the worker stays and answers.
constexpr WorkerTime leavingLeaseMargin {2500};
/// Interval of heartbeats while completions are unrecorded: the lease needs renewal, and a worker
/// with unacknowledged completions replies without waiting.
constexpr Milliseconds unrecordedHeartbeatInterval {400};
/// A worker normally replies to a start within milliseconds.
constexpr Milliseconds startTimeout {700};
constexpr Milliseconds stopTimeout {700};
constexpr Milliseconds stopRetryInterval {600};
constexpr Milliseconds unansweredBackoff {1500};
constexpr Milliseconds unhealthyBackoff {1000};
/// After a refusal for lack of capacity, which the worker's entry overstates.
constexpr Milliseconds overloadBackoff {300};
/// A worker lists at most this many completions in one reply, so a full list may be incomplete.
constexpr std::size_t maxCompletionsPerReply = 500;
/// Worker clocks may be slow by two percent (1/50).
constexpr std::int64_t clockDriftDivisor = 50;
/// For network delay.
constexpr Milliseconds recoveryMargin {300};
/// By this much the time of day of a worker may be ahead of this instance's; both may jump.
constexpr WallTime maxClockDifference {60'000};
/// How long a removed worker is kept whose runs expired with its lease; a crashed worker normally
/// returns within seconds.
constexpr Milliseconds returnLimit {30'000};
/// How long a task with several crashes waits to know whether there was another.
constexpr Milliseconds crashEvidenceWait {10'000};
/// Bounds the record of closed workers; further workers stay open.
constexpr std::size_t maxClosedJobs = 2000;

bool wasSent(const Placement &placement)
{
    return placement.startSent;
}

/// Whether the start may reach a later incarnation of the worker than it was sent to.
bool mayBeOnNextIncarnation(const Placement &placement)
{
    return placement.startSent && !placement.isOnPresentIncarnation;
}

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
    dueHeartbeats_.clear();
    nextNumber_ = {};
}

CellWorker &WorkerFleet::findOrAdd(const WorkerId &id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end())
        return found->second;
    const WorkerNumber number = nextNumber_;
    nextNumber_ = nextNumber_.next();
    return workers_.emplace(id, CellWorker(id, number)).first->second;
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
    if (entry.draining)
        worker.drainedIncarnation = entry.incarnation;
    if (!worker.incarnation || entry.incarnation <= *worker.incarnation)
        return;
    const auto latestStart
            = static_cast<std::uint64_t>((context_.wallTime() + maxClockDifference).count());
    if (entry.incarnation.value() <= latestStart) {
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
    if (!worker->expiredPlacements.empty())
        reportCrash(*worker, wasSent);
}

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
    if (!worker.placements.empty() || !worker.unrecordedCompletions.empty())
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
    const bool areJobsKnown = worker.isStateRead && worker.unrecordedCompletions.empty();
    return maySkipWorker && (isClosed || areJobsKnown);
}

bool WorkerFleet::isUsable(const CellWorker &worker) const
{
    // A new incarnation may have less capacity and other labels than the entry of the earlier one.
    // An entry without a start time tells nothing about this.
    const bool isEntryOutdated = worker.isListed && worker.incarnation
            && worker.entry->incarnation != WorkerIncarnation()
            && worker.entry->incarnation < *worker.incarnation;
    return worker.isListed && !isEntryOutdated && worker.isStateRead && worker.isInRoster
            && !worker.closedWithJobs && !worker.entry->draining && worker.orphanedRuns == 0
            && context_.now() >= worker.avoidUntil;
}

void WorkerFleet::start(const WorkerId &id, StartRequest request)
{
    reserve(id, request);
    sendStart(id, std::move(request));
}

void WorkerFleet::reserve(const WorkerId &id, const StartRequest &request)
{
    Placement placement;
    placement.task = request.task;
    placement.run = request.run;
    placement.need = request.need;
    findWorker(id)->placements.push_back(placement);
}

void WorkerFleet::discardStart(const WorkerId &id, const StartRequest &request)
{
    if (CellWorker *worker = findWorker(id))
        removePlacement(*worker, request.task, request.run, WorkerOutcome::NotSent);
}

bool WorkerFleet::isStopRequested(const WorkerId &id, const StartRequest &request)
{
    CellWorker *worker = findWorker(id);
    const Placement *placement = worker ? worker->find(request.task, request.run) : nullptr;
    return !placement || placement->stopRequested;
}

bool WorkerFleet::mayReceive(const WorkerId &id) const
{
    const CellWorker *found = worker(id);
    return found && isUsable(*found) && Resources().fitsIn(found->freeResources());
}

void WorkerFleet::sendStart(const WorkerId &id, StartRequest request)
{
    CellWorker *worker = findWorker(id);
    Placement *placement = worker ? worker->find(request.task, request.run) : nullptr;
    if (!placement || placement->stopRequested)
        return;
    const TimePoint now = context_.now();
    placement->startSent = true;
    placement->sentAt = worker->estimatedClock(now);
    const WorkerTime deadline = placement->sentAt + WorkerTime(startWindow.count());
    placement->startDeadline = deadline;
    worker->extendLeaseBound(deadline);
    WorkerStart start {request.task,
                       request.run,
                       std::move(request.payload),
                       deadline,
                       std::move(request.checkpoint),
                       std::move(request.ticket),
                       now + startTimeout};
    context_.callWorker({id, worker->entry->address, token_, std::move(start)}, startTimeout,
                        [this, term = term_, target = worker->callTarget(now), task = request.task,
                         run = request.run](const WorkerReply &reply) {
                            if (term == term_)
                                onStart(target, task, run, reply);
                        });
}

void WorkerFleet::onStart(const CallTarget &target, const TaskKey &task, RunNumber run,
                          const WorkerReply &reply)
{
    CellWorker *worker = findWorker(target.worker);
    if (!worker)
        return;
    const ReplySource source = updateFromReply(*worker, target, reply);
    Placement *placement = worker->find(task, run);
    if (!placement)
        return;
    placement->startAnsweredAt = context_.now();
    switch (reply.outcome) {
    case WorkerOutcome::Done:
        if (source == ReplySource::Present)
            placement->isOnPresentIncarnation = true;
        if (!placement->confirmedAt && source != ReplySource::Other)
            placement->confirmedAt = reply.clock.value_or(worker->estimatedClock(context_.now()));
        handlers_.started(*worker, task, run);
        return;
    case WorkerOutcome::Unanswered:
        // The next heartbeat or the start deadline shows whether the run exists. The stop makes
        // sure that it ends and cannot start later.
        handlers_.startUnanswered(task, run);
        stop(target.worker, task, run);
        return;
    case WorkerOutcome::Unhealthy:
        worker->avoidUntil = context_.now() + unhealthyBackoff;
        break;
    case WorkerOutcome::Misdirected:
        worker->avoidUntil = context_.now() + unansweredBackoff;
        break;
    case WorkerOutcome::InsufficientCapacity:
        worker->avoidUntil = std::max(worker->avoidUntil, context_.now() + overloadBackoff);
        break;
    default:
        break;
    }
    // A run that the worker has listed exists, even when a repeated start was refused.
    if (!placement->confirmedAt)
        removePlacement(*worker, task, run, reply.outcome);
}

void WorkerFleet::stop(const WorkerId &id, const TaskKey &task, RunNumber run)
{
    CellWorker *worker = findWorker(id);
    Placement *placement = worker ? worker->find(task, run) : nullptr;
    if (!placement || placement->stopRequested)
        return;
    placement->stopRequested = true;
    if (!placement->startSent)
        return;
    context_.log("event=run_stop_requested job={} step={} task={} run={} worker={}",
                 task.job.value(), task.step.value(), task.index.value(), run.value(), id.value());
    sendStop(*worker, task, run);
}

void WorkerFleet::sendStop(CellWorker &worker, const TaskKey &task, RunNumber run)
{
    if (Placement *placement = worker.find(task, run)) {
        placement->stopInFlight = true;
        placement->nextStopAttempt = context_.now() + stopRetryInterval;
    }
    context_.callWorker({worker.id(), worker.entry ? worker.entry->address : Address(), token_,
                         WorkerStop {task, run}},
                        stopTimeout,
                        [this, term = term_, target = worker.callTarget(context_.now()), task,
                         run](const WorkerReply &reply) {
                            if (term == term_)
                                onStop(target, task, run, reply);
                        });
}

void WorkerFleet::onStop(const CallTarget &target, const TaskKey &task, RunNumber run,
                         const WorkerReply &reply)
{
    CellWorker *worker = findWorker(target.worker);
    if (!worker)
        return;
    const ReplySource source = updateFromReply(*worker, target, reply);
    Placement *placement = worker->find(task, run);
    if (!placement)
        return;
    placement->stopInFlight = false;
    if (source != ReplySource::Other && reply.outcome == WorkerOutcome::Done && reply.clock)
        placement->stopAcceptedAt = reply.clock;
}

void WorkerFleet::resendStops(CellWorker &worker)
{
    for (std::size_t i = 0; i < worker.placements.size(); ++i) {
        const Placement &placement = worker.placements[i];
        if (placement.stopRequested && placement.startSent && !placement.stopInFlight
            && context_.now() >= placement.nextStopAttempt)
            sendStop(worker, placement.task, placement.run);
    }
}

void WorkerFleet::onCompletionRecorded(const WorkerId &id, WorkerIncarnation incarnation,
                                       CompletionNumber number)
{
    CellWorker *worker = findWorker(id);
    if (!worker || worker->incarnation != incarnation)
        return;
    worker->unrecordedCompletions.erase(number);
    if (worker->unrecordedCompletions.empty())
        scheduleHeartbeat(*worker);
}

void WorkerFleet::scheduleHeartbeat(CellWorker &worker)
{
    worker.nextHeartbeat = context_.now();
    dueHeartbeats_.push_back(worker.id());
}

void WorkerFleet::sendDueHeartbeats(bool mayRenew)
{
    for (const WorkerId &id : std::exchange(dueHeartbeats_, {})) {
        CellWorker *worker = findWorker(id);
        if (worker && worker->entry && !worker->heartbeatInFlight
            && context_.now() >= worker->nextHeartbeat)
            sendHeartbeat(*worker, mayRenew);
    }
}

void WorkerFleet::tick(bool mayRenew)
{
    if (!active_)
        return;
    for (auto &[id, worker] : workers_) {
        if (worker.entry && !worker.heartbeatInFlight && context_.now() >= worker.nextHeartbeat)
            sendHeartbeat(worker, mayRenew);
        resendStops(worker);
        if (!worker.placements.empty() && worker.isLeaseExpired(context_.now()))
            expireLease(worker);
    }
    std::erase_if(workers_, [&](const auto &row) {
        const CellWorker &worker = row.second;
        return recovered_ && !worker.isListed && worker.placements.empty()
                && worker.unrecordedCompletions.empty() && !worker.heartbeatInFlight
                && !awaitsReturn(worker);
    });
    checkRecovery();
}

/// All runs on the worker have expired with its lease. The process may still run and keep its list
/// of completions, so the completion numbers stay valid.
void WorkerFleet::expireLease(CellWorker &worker)
{
    context_.log("event=worker_lease_expired worker={} runs={} unanswered_calls={}",
                 worker.id().value(), worker.placements.size(), worker.unansweredCalls);
    std::vector<Placement> expired = worker.expiredPlacements;
    std::copy_if(worker.placements.begin(), worker.placements.end(), std::back_inserter(expired),
                 wasSent);
    const CompletionNumber highest = worker.highestCompletion;
    const std::set<CompletionNumber> unrecorded = worker.unrecordedCompletions;
    // A crashed worker may return under another id, so its next incarnation may never show here.
    if (!worker.isListed) {
        reportCrash(worker, wasSent);
        expired.clear();
    }
    resetWorker(worker, worker.incarnation);
    worker.highestCompletion = highest;
    worker.unrecordedCompletions = unrecorded;
    worker.expiredPlacements = std::move(expired);
    worker.leaseExpiredAt = context_.now();
}

bool WorkerFleet::mayHaveCrashedUnder(const TaskKey &task) const
{
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto &row) {
        const std::vector<Placement> &expired = row.second.expiredPlacements;
        return context_.now() - row.second.leaseExpiredAt < crashEvidenceWait
                && std::any_of(expired.begin(), expired.end(),
                               [&](const Placement &placement) { return placement.task == task; });
    });
}

bool WorkerFleet::awaitsReturn(const CellWorker &worker) const
{
    return !worker.expiredPlacements.empty()
            && context_.now() - worker.leaseExpiredAt < returnLimit;
}

void WorkerFleet::sendHeartbeat(CellWorker &worker, bool mayRenew)
{
    if (!worker.isListed && worker.placements.empty() && (worker.isStateRead || recovered_))
        return;
    worker.heartbeatInFlight = true;
    WorkerHeartbeat heartbeat;
    heartbeat.acknowledged = worker.highestAcknowledgeable();
    // A renewal without a reply may still have reached the worker, so each raises the latest time
    // at which the worker's lease may end. If renewals to an unreachable worker continued, the
    // holder could never conclude that its runs have ended; nor those to an unhealthy one, which
    // does not renew its lease.
    const bool isAnswering = worker.unansweredCalls == 0 && !worker.isUnhealthy;
    if (mayRenew && worker.hasClock() && isAnswering) {
        heartbeat.deadline = renewedLeaseEnd(worker);
        worker.extendLeaseBound(heartbeat.deadline);
    }
    if (worker.isStateRead && mayRenew && isAnswering)
        heartbeat.wait = heartbeatWait;
    context_.callWorker({worker.id(), worker.entry->address, token_, heartbeat},
                        heartbeat.wait + heartbeatMargin,
                        [this, term = term_, mayRenew,
                         target = worker.callTarget(context_.now())](const WorkerReply &reply) {
                            if (term == term_)
                                onHeartbeatReply(target, mayRenew, reply);
                        });
}

/// Until the latest time that this holder's last confirmation allows. The lease of a worker that
/// has announced when it leaves lasts little longer, as its runs count as running until the lease
/// has expired if the worker is lost.
WorkerTime WorkerFleet::renewedLeaseEnd(const CellWorker &worker) const
{
    const WorkerTime now = worker.estimatedClock(context_.now());
    const Milliseconds longest
            = std::min(context_.settings().workerLease, latestLeaseEnd_ - context_.now());
    const WorkerTime full = now + WorkerTime(longest.count());
    const std::optional<WorkerTime> remaining = worker.timeToLeaving(context_.now());
    if (!remaining)
        return full;
    return std::min(full, now + std::max(*remaining, WorkerTime()) + leavingLeaseMargin);
}

void WorkerFleet::onHeartbeatReply(const CallTarget &target, bool mayRenew,
                                   const WorkerReply &reply)
{
    CellWorker *worker = findWorker(target.worker);
    if (!worker)
        return;
    // After a restart the next heartbeat does not wait for the reply to this one.
    const bool isLatest = target.incarnation == worker->incarnation;
    if (isLatest) {
        worker->heartbeatInFlight = false;
        worker->isUnhealthy = reply.outcome == WorkerOutcome::Unhealthy;
    }
    const ReplySource source = updateFromReply(*worker, target, reply);
    if (reply.outcome != WorkerOutcome::Done || source == ReplySource::Other) {
        if (isLatest)
            worker->nextHeartbeat = context_.now() + heartbeatRetryInterval;
        return;
    }
    if (source == ReplySource::Present)
        worker->setSeenAt(target.sentAt);
    handleLists(*worker, target, reply);
    if (!isLatest)
        return;
    // Without a renewal the worker replies without waiting.
    if (!mayRenew)
        worker->nextHeartbeat = context_.now() + heartbeatRetryInterval;
    else if (worker->unrecordedCompletions.empty())
        scheduleHeartbeat(*worker);
    else
        worker->nextHeartbeat = context_.now() + unrecordedHeartbeatInterval;
}

ReplySource WorkerFleet::updateFromReply(CellWorker &worker, const CallTarget &target,
                                         const WorkerReply &reply)
{
    if (reply.outcome == WorkerOutcome::Fenced) {
        handlers_.fenced();
        return ReplySource::Other;
    }
    const bool isUnreachable = reply.outcome == WorkerOutcome::Unanswered
            || reply.outcome == WorkerOutcome::NotSent
            || reply.outcome == WorkerOutcome::Misdirected;
    if (isUnreachable) {
        if (target.incarnation != worker.incarnation)
            return ReplySource::Other;
        if (++worker.unansweredCalls == 1 && !worker.placements.empty())
            logUnreachable(worker, reply.outcome);
        worker.avoidUntil = context_.now() + unansweredBackoff;
        return ReplySource::Other;
    }
    const ReplySource source = worker.sourceOf(target, reply, context_.now());
    if (source == ReplySource::Other) {
        context_.log("event=worker_reply_ignored worker={} incarnation={} reply_incarnation={} "
                     "reply_clock_ms={}",
                     worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                     reply.incarnation.value_or(WorkerIncarnation()).value(),
                     reply.clock.value_or(WorkerTime()).count());
        return ReplySource::Other;
    }
    if (worker.unansweredCalls > 0 && !worker.placements.empty()) {
        context_.log("event=worker_reachable worker={} unanswered_calls={} runs={}",
                     worker.id().value(), worker.unansweredCalls, worker.placements.size());
    }
    worker.unansweredCalls = 0;
    worker.lastReplyAt = context_.now();
    if (reply.incarnation)
        updateIncarnation(worker, reply.incarnation);
    if (reply.incarnation && reply.incarnation == worker.incarnation)
        worker.expiredPlacements.clear();
    if (!reply.clock)
        return source;
    // An earlier holder may have renewed the lease by its full length just before.
    if (!worker.hasClock())
        worker.extendLeaseBound(*reply.clock + WorkerTime(context_.settings().workerLease.count()));
    worker.updateClock(*reply.clock, context_.now());
    return source;
}

/// The runs on an unreachable worker are not started elsewhere before its lease has expired.
void WorkerFleet::logUnreachable(const CellWorker &worker, WorkerOutcome outcome)
{
    const std::optional<Milliseconds> lease = worker.timeToLeaseExpiry(context_.now());
    context_.log("event=worker_unreachable worker={} outcome={} listed={} draining={} runs={} "
                 "lease_expires_in_ms={}",
                 worker.id().value(), nameOf(outcome), worker.isListed,
                 worker.entry && worker.entry->draining, worker.placements.size(),
                 lease ? lease->count() : -1);
}

void WorkerFleet::updateIncarnation(CellWorker &worker,
                                    std::optional<WorkerIncarnation> incarnation)
{
    if (worker.incarnation == incarnation)
        return;
    if (worker.incarnation) {
        context_.log("event=worker_restarted worker={} incarnation={} previous={} runs={}",
                     worker.id().value(), incarnation->value(), worker.incarnation->value(),
                     worker.placements.size());
        restartWorker(worker, incarnation);
        return;
    }
    worker.incarnation = incarnation;
}

/// A start that is not proved to have reached the earlier incarnation may have reached the new one,
/// as its reply does not name the incarnation.
void WorkerFleet::restartWorker(CellWorker &worker, std::optional<WorkerIncarnation> newIncarnation)
{
    const Milliseconds lease = context_.settings().workerLease;
    const TimePoint leaseEnd
            = context_.now() + startTimeout + lease + lease / clockDriftDivisor + startWindow;
    const std::optional<WorkerIncarnation> earlier = worker.incarnation;
    reportCrash(worker, [](const Placement &placement) {
        return placement.startSent && !mayBeOnNextIncarnation(placement);
    });
    const std::vector<Placement> placements = std::exchange(worker.placements, {});
    worker.startIncarnation(newIncarnation);
    for (const Placement &placement : placements) {
        if (mayBeOnNextIncarnation(placement))
            worker.carryOver(placement, earlier, leaseEnd);
    }
    for (const Placement &placement : placements) {
        if (!mayBeOnNextIncarnation(placement))
            handlers_.notOnWorker(worker, placement.task, placement.run, WorkerOutcome::Unanswered);
    }
    worker.heartbeatInFlight = false;
    scheduleHeartbeat(worker);
}

void WorkerFleet::reportCrash(CellWorker &worker,
                              const std::function<bool(const Placement &)> &isLost)
{
    std::vector<Placement> lost = std::exchange(worker.expiredPlacements, {});
    std::copy_if(worker.placements.begin(), worker.placements.end(), std::back_inserter(lost),
                 isLost);
    worker.restartedAt = context_.now();
    worker.jobsAtRestart.clear();
    for (const Placement &placement : lost)
        worker.jobsAtRestart.insert(placement.task.job);
    for (const Placement &placement : worker.placements) {
        if (placement.startSent)
            worker.jobsAtRestart.insert(placement.task.job);
    }
    reportCrash(worker, worker.incarnation, lost);
}

void WorkerFleet::reportCrash(CellWorker &worker, std::optional<WorkerIncarnation> incarnation,
                              const std::vector<Placement> &lost)
{
    if (!lost.empty() && worker.drainedIncarnation != incarnation)
        handlers_.crashed(worker, incarnation, lost);
}

void WorkerFleet::resetWorker(CellWorker &worker, std::optional<WorkerIncarnation> newIncarnation)
{
    const std::vector<Placement> lost = std::exchange(worker.placements, {});
    worker.startIncarnation(newIncarnation);
    for (const Placement &placement : lost)
        handlers_.notOnWorker(worker, placement.task, placement.run, WorkerOutcome::Unanswered);
}

void WorkerFleet::handleLists(CellWorker &worker, const CallTarget &target,
                              const WorkerReply &reply)
{
    handleCompletions(worker, reply);
    handleRunningTasks(worker, reply);
    if (reply.completed.size() < maxCompletionsPerReply) {
        removeAbsentPlacements(worker, target, reply);
        worker.isStateRead = true;
    }
}

void WorkerFleet::handleCompletions(CellWorker &worker, const WorkerReply &reply)
{
    for (const CompletedRun &completion : reply.completed) {
        if (completion.number <= worker.highestCompletion)
            continue;
        worker.highestCompletion = completion.number;
        if (handlers_.completed(worker, completion))
            worker.unrecordedCompletions.insert(completion.number);
        removePlacement(worker, completion.task, completion.run, WorkerOutcome::Done);
    }
}

void WorkerFleet::handleRunningTasks(CellWorker &worker, const WorkerReply &reply)
{
    worker.orphanedRuns = 0;
    for (const RunningTask &running : reply.running) {
        Placement *placement = worker.find(running.task, running.run);
        if (placement) {
            placement->confirmedAt = reply.clock;
            placement->isOnPresentIncarnation = true;
            placement->sentToIncarnation.reset();
            handlers_.progressed(worker, running);
            continue;
        }
        const std::optional<Resources> need = handlers_.discovered(worker, running);
        if (!need)
            ++worker.orphanedRuns;
        Placement discovered;
        discovered.task = running.task;
        discovered.run = running.run;
        discovered.need = need.value_or(Resources());
        discovered.confirmedAt = reply.clock;
        discovered.startSent = true;
        discovered.startAnsweredAt = context_.now();
        discovered.isOnPresentIncarnation = true;
        worker.placements.push_back(discovered);
        if (!need)
            stop(worker.id(), running.task, running.run);
    }
    for (const Placement &placement : worker.placements) {
        const bool hasAllocation
                = placement.need.processors.count() > 0 || placement.need.memory.count() > 0;
        if (!hasAllocation && placement.stopRequested)
            worker.orphanedRuns = std::max<std::size_t>(worker.orphanedRuns, 1);
    }
}

bool WorkerFleet::isAbsent(const Placement &placement, TimePoint requestedAt, WorkerTime clock)
{
    if (placement.confirmedAt)
        return clock > *placement.confirmedAt;
    if (placement.stopAcceptedAt)
        return clock > *placement.stopAcceptedAt;
    if (!placement.startAnsweredAt)
        return false;
    if (placement.startDeadline)
        return clock > *placement.startDeadline;
    // An unanswered start, which is being stopped, may still be carried out.
    return !placement.stopRequested && *placement.startAnsweredAt <= requestedAt;
}

void WorkerFleet::removeAbsentPlacements(CellWorker &worker, const CallTarget &target,
                                         const WorkerReply &reply)
{
    if (!reply.clock)
        return;
    std::vector<Placement> absent;
    for (const Placement &placement : worker.placements) {
        const bool isListed = std::any_of(
                reply.running.begin(), reply.running.end(), [&](const RunningTask &running) {
                    return running.run == placement.run && running.task == placement.task;
                });
        if (!isListed && isAbsent(placement, target.sentAt, *reply.clock))
            absent.push_back(placement);
    }
    for (const Placement &placement : absent) {
        if (placement.sentToIncarnation)
            reportCrash(worker, placement.sentToIncarnation, {placement});
        removePlacement(worker, placement.task, placement.run, WorkerOutcome::Unanswered);
    }
}

void WorkerFleet::removePlacement(CellWorker &worker, const TaskKey &task, RunNumber run,
                                  WorkerOutcome outcome)
{
    const auto position = std::find_if(worker.placements.begin(), worker.placements.end(),
                                       [&](const Placement &placement) {
                                           return placement.run == run && placement.task == task;
                                       });
    if (position == worker.placements.end())
        return;
    // The arguments may refer to the placement itself.
    const Placement removed = *position;
    worker.placements.erase(position);
    handlers_.notOnWorker(worker, removed.task, removed.run, outcome);
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

void WorkerFleet::checkRecovery()
{
    if (recovered_)
        return;
    const Milliseconds lease = context_.settings().workerLease;
    // A reachable worker has the same time to be read, however early the earlier holder ended.
    const TimePoint leasesStart = std::max(earlierRenewalsEnd_, termStartedAt_);
    const bool isTimedOut
            = context_.now() - leasesStart > lease + lease / clockDriftDivisor + recoveryMargin;
    std::size_t unreadInRoster = 0;
    isOpenWorkerUnread_ = false;
    jobsOnUnreadWorkers_.clear();
    for (const auto &[id, worker] : workers_) {
        if (!worker.isInRoster || worker.isStateRead)
            continue;
        ++unreadInRoster;
        if (worker.closedWithJobs)
            jobsOnUnreadWorkers_.insert(worker.closedWithJobs->begin(),
                                        worker.closedWithJobs->end());
        else
            isOpenWorkerUnread_ = true;
    }
    if (unreadInRoster > 0 && !isTimedOut)
        return;
    recovered_ = true;
    context_.log("event=workers_recovered after_ms={} unread={} workers={}",
                 (context_.now() - termStartedAt_).count(), unreadInRoster, workers_.size());
}

} // namespace caraway::cell
