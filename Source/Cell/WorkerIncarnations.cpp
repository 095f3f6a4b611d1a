#include "Cell/WorkerFleet.h"
#include "Cell/WorkerLimits.h"

namespace caraway::cell {

namespace {

/// How long a removed worker is kept whose runs expired with its lease; a crashed worker normally
/// returns within seconds.
constexpr Milliseconds returnLimit {60'000};
/// How long a task with several crashes waits to know whether there was another.
constexpr Milliseconds crashEvidenceWait {10'000};

/// How long the outage of a worker is kept that has returned, or has left the list.
constexpr Milliseconds outageMemory {60'000};

/// Whether the start may reach a later incarnation of the worker than it was sent to.
bool mayBeOnNextIncarnation(const Placement &placement)
{
    return placement.startSent && !placement.isOnPresentIncarnation;
}

/// Whether a later incarnation with the same start time has sent the reply: its clock is behind the
/// one that was read before the call.
bool isOfNextWithSameStartTime(const CellWorker &worker, const CallTarget &target,
                               const WorkerReply &reply, TimePoint now)
{
    const bool isSameStartTime = reply.incarnation && reply.incarnation == target.incarnation
            && reply.incarnation == worker.incarnation;
    // Otherwise its restart was noticed after the call.
    const bool isLatest = target.clock <= worker.callTarget(now).clock;
    if (!isSameStartTime || !isLatest || !reply.clock)
        return false;
    // The call was sent after the expiry of the lease, which has reset the clock.
    const bool isFirstAfterExpiry = !worker.hasClock() && worker.expiredLeaseEnd.has_value();
    return *reply.clock < (isFirstAfterExpiry ? *worker.expiredLeaseEnd : target.clock);
}

} // namespace

/// All runs on the worker have expired with its lease. The process may still run and keep its list
/// of completions, so the completion numbers stay valid.
void WorkerFleet::expireLease(CellWorker &worker)
{
    context_.log("event=worker_lease_expired worker={} incarnation={} runs={} listed={} "
                 "unanswered_calls={}",
                 worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                 worker.placements.size(), worker.isListed, worker.unansweredCalls);
    std::vector<Placement> expired = worker.expiredPlacements;
    std::copy_if(worker.placements.begin(), worker.placements.end(), std::back_inserter(expired),
                 std::mem_fn(&Placement::startSent));
    const CompletionNumbers completions = worker.completions;
    const std::optional<WorkerTime> leaseEnd = worker.leaseEnd();
    resetWorker(worker);
    worker.completions = completions;
    worker.expiredPlacements = std::move(expired);
    worker.leaseExpiredAt = context_.now();
    worker.expiredLeaseEnd = leaseEnd;
    if (worker.isReplaced)
        reportCrash(worker, CrashEvidence::Replaced, &Placement::startSent);
}

void WorkerFleet::discardExpiredRuns(CellWorker &worker)
{
    worker.isReplaced = false;
    if (worker.expiredPlacements.empty())
        return;
    context_.log("event=worker_returned_after_lease worker={} incarnation={} expired_runs={}",
                 worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                 worker.expiredPlacements.size());
    handlers_.expired(worker, std::exchange(worker.expiredPlacements, {}));
}

void WorkerFleet::markReplaced(CellWorker &worker)
{
    if (std::exchange(worker.isReplaced, true))
        return;
    beginOutage(worker);
    context_.log("event=worker_replaced worker={} incarnation={} runs={} expired_runs={}",
                 worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                 worker.placements.size(), worker.expiredPlacements.size());
    // The present runs are not started elsewhere, nor counted, before the lease is over.
    const std::vector<Placement> expired = std::exchange(worker.expiredPlacements, {});
    reportCrash(worker, worker.incarnation, CrashEvidence::Replaced, expired);
}

bool WorkerFleet::mayHaveCrashedUnder(const TaskKey &task, bool onlyListed) const
{
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto &row) {
        const std::vector<Placement> &expired = row.second.expiredPlacements;
        return context_.now() - row.second.leaseExpiredAt < crashEvidenceWait
                && (row.second.isListed || !onlyListed)
                && std::any_of(expired.begin(), expired.end(),
                               [&](const Placement &placement) { return placement.task == task; });
    });
}

bool WorkerFleet::awaitsReturn(const CellWorker &worker) const
{
    return !worker.expiredPlacements.empty()
            && context_.now() - worker.leaseExpiredAt < returnLimit;
}

void WorkerFleet::countOutcome(WorkerOutcome outcome)
{
    callTotals_.lateStarts += outcome == WorkerOutcome::DeadlinePassed ? 1 : 0;
    callTotals_.unanswered += outcome == WorkerOutcome::Unanswered ? 1 : 0;
    callTotals_.notSent += outcome == WorkerOutcome::NotSent ? 1 : 0;
    callTotals_.withheld += outcome == WorkerOutcome::Withheld ? 1 : 0;
}

ReplySource WorkerFleet::updateFromReply(CellWorker &worker, const CallTarget &target,
                                         const WorkerReply &reply)
{
    countOutcome(reply.outcome);
    if (reply.outcome == WorkerOutcome::Fenced) {
        // If the holder is confirmed after all, this worker's token is odd.
        worker.avoidUntil = context_.now() + unansweredBackoff;
        handlers_.fenced();
        return ReplySource::Other;
    }
    if (reply.outcome == WorkerOutcome::OtherIncarnation) {
        // The reply was requested after the holder had learned of the incarnation that it called,
        // so the one that has replied is a later one, whatever its start time.
        if (reply.incarnation && target.incarnation == worker.incarnation) {
            worker.endIncarnation(*reply.incarnation);
            updateIncarnation(worker, reply.incarnation);
        }
        return ReplySource::Other;
    }
    if (reply.outcome == WorkerOutcome::Withheld)
        return ReplySource::Other;
    const bool isUnreachable = reply.outcome == WorkerOutcome::Unanswered
            || reply.outcome == WorkerOutcome::NotSent
            || reply.outcome == WorkerOutcome::Misdirected;
    if (isUnreachable) {
        countUnanswered(worker, target, reply.outcome);
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
    const bool isOfNext = isOfNextWithSameStartTime(worker, target, reply, context_.now());
    if (isOfNext)
        restartWorker(worker, reply.incarnation);
    else if (reply.incarnation)
        updateIncarnation(worker, reply.incarnation);
    worker.unansweredCalls = 0;
    worker.lastReplyAt = context_.now();
    if (reply.incarnation && reply.incarnation == worker.incarnation) {
        if (!isOfNext)
            endOutage(worker);
        discardExpiredRuns(worker);
    }
    if (!reply.clock)
        return source;
    // An earlier holder may have renewed the lease by its full length just before.
    if (!worker.hasClock())
        worker.extendLeaseBound(*reply.clock + WorkerTime(context_.settings().workerLease.count()));
    worker.updateClock(*reply.clock, reply.receivedAt.value_or(context_.now()));
    return source;
}

void WorkerFleet::countUnanswered(CellWorker &worker, const CallTarget &target,
                                  WorkerOutcome outcome)
{
    if (target.incarnation != worker.incarnation)
        return;
    if (outcome == WorkerOutcome::Misdirected)
        markReplaced(worker);
    beginOutage(worker);
    if (++worker.unansweredCalls == 1 && !worker.placements.empty())
        logUnreachable(worker, outcome);
    worker.avoidUntil = context_.now() + unansweredBackoff;
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
        restartWorker(worker, incarnation);
        return;
    }
    worker.incarnation = incarnation;
}

void WorkerFleet::beginOutage(const CellWorker &worker)
{
    // Without a reply in this term it is open since when the worker is down.
    const bool wasSeen = worker.incarnation && worker.lastReplyAt != TimePoint();
    if (!wasSeen || worker.drainedIncarnation == worker.incarnation)
        return;
    const auto found = outages_.find(worker.id());
    if (found != outages_.end() && found->second.incarnation == *worker.incarnation)
        return;
    WorkerOutage outage {*worker.incarnation, worker.lastReplyAt, context_.now(), {}};
    for (const Placement &placement : worker.placements) {
        if (placement.startSent)
            outage.runs.push_back(placement.task);
    }
    outages_.insert_or_assign(worker.id(), std::move(outage));
}

void WorkerFleet::endOutage(const CellWorker &worker)
{
    const auto found = outages_.find(worker.id());
    if (found != outages_.end() && found->second.incarnation == worker.incarnation)
        outages_.erase(found);
}

void WorkerFleet::discardOldOutages()
{
    std::erase_if(outages_, [&](const auto &row) {
        const CellWorker *worker = findWorker(row.first);
        const bool isDown = worker && worker->unansweredCalls > 0;
        return !isDown && context_.now() - row.second.until >= outageMemory;
    });
}

/// A start that is not proved to have reached the earlier incarnation may have reached the new one,
/// as its reply does not name the incarnation.
void WorkerFleet::restartWorker(CellWorker &worker, std::optional<WorkerIncarnation> newIncarnation)
{
    context_.log("event=worker_restarted worker={} incarnation={} previous={} runs={}",
                 worker.id().value(), newIncarnation.value_or(WorkerIncarnation()).value(),
                 worker.incarnation.value_or(WorkerIncarnation()).value(),
                 worker.placements.size());
    beginOutage(worker);
    const Milliseconds lease = context_.settings().workerLease;
    const TimePoint leaseEnd = context_.now() + startTimeout + lease + lease / clockDriftDivisor
            + startWindow(lease);
    const std::optional<WorkerIncarnation> earlier = worker.incarnation;
    reportCrash(worker, CrashEvidence::Restarted, [](const Placement &placement) {
        return placement.startSent && !mayBeOnNextIncarnation(placement);
    });
    const std::vector<Placement> placements = std::exchange(worker.placements, {});
    worker.startIncarnation(newIncarnation);
    worker.expiredLeaseEnd.reset();
    // It may be of another kind, and no ticket of the earlier one is valid.
    worker.setNumber(takeNumber());
    for (const Placement &placement : placements) {
        if (mayBeOnNextIncarnation(placement))
            worker.carryOver(placement, earlier, leaseEnd);
    }
    for (const Placement &placement : placements) {
        if (!mayBeOnNextIncarnation(placement))
            handlers_.notOnWorker(worker, placement.task, placement.run, WorkerOutcome::Unanswered,
                                  AbsenceEvidence::Restarted);
    }
    worker.heartbeatInFlight = false;
    scheduleHeartbeat(worker);
}

void WorkerFleet::reportCrash(CellWorker &worker, CrashEvidence evidence,
                              const std::function<bool(const Placement &)> &isLost)
{
    std::vector<Placement> lost = std::exchange(worker.expiredPlacements, {});
    std::copy_if(worker.placements.begin(), worker.placements.end(), std::back_inserter(lost),
                 isLost);
    reportCrash(worker, worker.incarnation, evidence, lost);
}

void WorkerFleet::reportCrash(CellWorker &worker, std::optional<WorkerIncarnation> incarnation,
                              CrashEvidence evidence, const std::vector<Placement> &lost)
{
    if (!lost.empty() && worker.drainedIncarnation != incarnation)
        handlers_.crashed(worker, incarnation, evidence, lost);
}

void WorkerFleet::resetWorker(CellWorker &worker)
{
    const std::vector<Placement> lost = std::exchange(worker.placements, {});
    worker.startIncarnation(worker.incarnation);
    for (const Placement &placement : lost)
        handlers_.notOnWorker(worker, placement.task, placement.run, WorkerOutcome::Unanswered,
                              AbsenceEvidence::LeaseExpired);
}

} // namespace caraway::cell
