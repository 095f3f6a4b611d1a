#include "Cell/WorkerFleet.h"
#include "Cell/WorkerLimits.h"

namespace caraway::cell {

namespace {

constexpr Milliseconds heartbeatRetryInterval {250};
/// How long a lease lasts beyond the time at which the worker may leave; more than a heartbeat
/// waits and takes, so that it does not expire while the worker stays and answers.
constexpr WorkerTime leavingLeaseMargin {2500};
/// Interval of heartbeats while completions cannot be acknowledged: the lease needs renewal, and a
/// worker with unacknowledged completions replies without waiting.
constexpr Milliseconds unacknowledgedHeartbeatInterval {400};
constexpr Milliseconds unusedReplyLogInterval {1000};
/// A worker lists at most this many completions in one reply, so a full list may be incomplete.
constexpr std::size_t maxCompletionsPerReply = 500;

} // namespace

void WorkerFleet::onCompletionRecorded(const WorkerId &id, WorkerIncarnation incarnation,
                                       CompletionNumber number)
{
    CellWorker *worker = findWorker(id);
    if (!worker || worker->incarnation != incarnation)
        return;
    worker->completions.setRecorded(number);
    if (worker->completions.areAllRecorded())
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

void WorkerFleet::sendHeartbeat(CellWorker &worker, bool mayRenew)
{
    if (!worker.isListed && worker.placements.empty() && (worker.isStateRead || recovered_))
        return;
    worker.heartbeatInFlight = true;
    WorkerHeartbeat heartbeat;
    if (mayRenew && worker.isLastListUsed)
        heartbeat.acknowledged = nextAcknowledgement(worker);
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
    const Milliseconds timeout = heartbeat.wait + heartbeatMargin;
    ++callTotals_.heartbeats;
    context_.callWorker({worker.id(), worker.entry->address, token_, heartbeat, worker.incarnation,
                         context_.now() + timeout},
                        timeout,
                        [this, term = term_, mayRenew, acknowledged = heartbeat.acknowledged,
                         target = worker.callTarget(context_.now())](const WorkerReply &reply) {
                            if (term != term_)
                                return;
                            logMisdelivery(target, acknowledged, reply);
                            onHeartbeatReply(target, mayRenew, acknowledged, reply);
                        });
}

CompletionNumber WorkerFleet::nextAcknowledgement(const CellWorker &worker) const
{
    const CompletionNumbers &completions = worker.completions;
    const CompletionNumber number = completions.acknowledgeable();
    if (const std::uint64_t missing = completions.missingThrough(number)) {
        context_.log("event=completions_never_listed worker={} incarnation={} acknowledged={} "
                     "missing={}",
                     worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                     number.value(), missing);
    }
    return number;
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

void WorkerFleet::logMisdelivery(const CallTarget &target, CompletionNumber acknowledged,
                                 const WorkerReply &reply)
{
    if (reply.outcome != WorkerOutcome::Done || !target.incarnation || !reply.incarnation
        || target.incarnation == reply.incarnation)
        return;
    context_.log("event=worker_heartbeat_misdelivered worker={} incarnation={} "
                 "reply_incarnation={} acknowledged={} listed_completions={}",
                 target.worker.value(), target.incarnation->value(), reply.incarnation->value(),
                 acknowledged.value(), reply.completed.size());
}

void WorkerFleet::recordUnusedReply(CellWorker &worker, const CallTarget &target,
                                    CompletionNumber acknowledged, const WorkerReply &reply)
{
    if (acknowledged == CompletionNumber())
        return;
    callTotals_.unusedAcknowledgements += reply.incarnation != target.incarnation ? 1 : 0;
    if (context_.now() < worker.nextUnusedReplyLog)
        return;
    worker.nextUnusedReplyLog = context_.now() + unusedReplyLogInterval;
    const auto covered
            = std::ranges::count_if(reply.completed, [&](const CompletedRun &completion) {
                  return completion.number <= acknowledged;
              });
    context_.log("event=worker_acknowledgement_unused worker={} incarnation={} called={} "
                 "reply_incarnation={} acknowledged={} listed_through_it={}",
                 worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                 target.incarnation.value_or(WorkerIncarnation()).value(),
                 reply.incarnation.value_or(WorkerIncarnation()).value(), acknowledged.value(),
                 covered);
}

void WorkerFleet::onHeartbeatReply(const CallTarget &target, bool mayRenew,
                                   CompletionNumber acknowledged, const WorkerReply &reply)
{
    CellWorker *worker = findWorker(target.worker);
    if (!worker)
        return;
    // After a restart the next heartbeat does not wait for the reply to this one.
    const bool isLatest = target.incarnation == worker->incarnation;
    const WorkerNumber life = worker->number();
    if (isLatest) {
        worker->heartbeatInFlight = false;
        if (reply.outcome != WorkerOutcome::Withheld)
            worker->isUnhealthy = reply.outcome == WorkerOutcome::Unhealthy;
    }
    const ReplySource source = updateFromReply(*worker, target, reply);
    if (reply.outcome == WorkerOutcome::Done && source == ReplySource::Other)
        recordUnusedReply(*worker, target, acknowledged, reply);
    if (reply.outcome != WorkerOutcome::Done || source == ReplySource::Other) {
        // A reply of another incarnation has scheduled a heartbeat to it.
        if (isLatest && target.incarnation == worker->incarnation) {
            worker->isLastListUsed = false;
            worker->nextHeartbeat = context_.now() + heartbeatRetryInterval;
        }
        return;
    }
    if (source == ReplySource::Present)
        worker->setSeenAt(target.sentAt);
    // The reply may have shown that the worker has restarted.
    if (isLatest && worker->number() == life)
        worker->completions.setDiscarded(acknowledged);
    handleLists(*worker, target, reply);
    if (!isLatest)
        return;
    worker->isLastListUsed = true;
    // Without a renewal the worker replies without waiting.
    if (!mayRenew)
        worker->nextHeartbeat = context_.now() + heartbeatRetryInterval;
    else if (worker->completions.mustKeepSome())
        worker->nextHeartbeat = context_.now() + unacknowledgedHeartbeatInterval;
    else
        scheduleHeartbeat(*worker);
}

void WorkerFleet::handleLists(CellWorker &worker, const CallTarget &target,
                              const WorkerReply &reply)
{
    // The first list comes from a later incarnation than the entry that was known at the call,
    // whatever their start times.
    if (!target.incarnation && worker.incarnation && target.listed > worker.incarnation
        && isPlausible(*target.listed))
        worker.endedIncarnations.insert(*target.listed);
    handleCompletions(worker, target, reply);
    handleRunningTasks(worker, reply);
    worker.isPartlyRead = reply.completed.size() >= maxCompletionsPerReply;
    if (!worker.isPartlyRead) {
        removeAbsentPlacements(worker, target, reply);
        worker.isStateRead = true;
        if (!worker.firstReadAt)
            worker.firstReadAt = latestFirstRead_ = context_.now();
        worker.lastListClock = reply.clock.value_or(WorkerTime());
        if (!worker.firstListClock)
            worker.firstListClock = worker.lastListClock;
    }
}

void WorkerFleet::handleCompletions(CellWorker &worker, const CallTarget &target,
                                    const WorkerReply &reply)
{
    std::vector<const CompletedRun *> completed;
    for (const CompletedRun &completion : reply.completed)
        completed.push_back(&completion);
    std::ranges::sort(completed, {}, &CompletedRun::number);
    const CompletionNumber highestBefore = worker.completions.highest();
    for (const CompletedRun *completion : completed) {
        const CompletionNumber number = completion->number;
        if (!worker.completions.add(number, context_.now()))
            continue;
        if (number < highestBefore) {
            context_.log("event=completion_listed_late worker={} incarnation={} number={} "
                         "highest={}",
                         worker.id().value(),
                         worker.incarnation.value_or(WorkerIncarnation()).value(), number.value(),
                         highestBefore.value());
        }
        if (!handlers_.completed(worker, *completion))
            worker.completions.setRecorded(number);
        removePlacement(worker, completion->task, completion->run, WorkerOutcome::Done);
    }
    worker.completions.setRead(target.sentAt);
}

void WorkerFleet::handleRunningTasks(CellWorker &worker, const WorkerReply &reply)
{
    for (const RunningTask &running : reply.running) {
        Placement *placement = worker.find(running.task, running.run);
        if (placement) {
            placement->confirmedAt = reply.clock;
            placement->absentSince.reset();
            placement->isOnPresentIncarnation = true;
            placement->sentToIncarnation.reset();
            handlers_.progressed(worker, running);
            continue;
        }
        const RunDecision decision = handlers_.discovered(worker, running);
        Placement discovered;
        discovered.task = running.task;
        discovered.run = running.run;
        discovered.isUndecided = true;
        discovered.confirmedAt = reply.clock;
        discovered.startSent = true;
        discovered.startAnsweredAt = context_.now();
        discovered.isOnPresentIncarnation = true;
        worker.placements.push_back(discovered);
        decide(worker.id(), running.task, running.run, decision);
    }
    worker.countOrphanedRuns();
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
    for (Placement &placement : worker.placements) {
        const bool isListed = std::any_of(
                reply.running.begin(), reply.running.end(), [&](const RunningTask &running) {
                    return running.run == placement.run && running.task == placement.task;
                });
        if (isListed || !isAbsent(placement, target.sentAt, *reply.clock))
            continue;
        // The completion of a run that was there may be listed in a later reply.
        if (placement.confirmedAt && !placement.absentSince)
            placement.absentSince = context_.now();
        if (!placement.absentSince || target.sentAt - *placement.absentSince >= lateListingLimit)
            absent.push_back(placement);
    }
    for (const Placement &placement : absent) {
        if (placement.sentToIncarnation)
            reportCrash(worker, placement.sentToIncarnation, CrashEvidence::NotCarriedOver,
                        {placement});
        removePlacement(worker, placement.task, placement.run, WorkerOutcome::Unanswered,
                        placement.sentToIncarnation ? AbsenceEvidence::NotCarriedOver
                                                    : AbsenceEvidence::Unlisted);
    }
}

} // namespace caraway::cell
