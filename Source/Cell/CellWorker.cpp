#include "Cell/CellWorker.h"

#include "Cell/WorkerLimits.h"

namespace caraway::cell {

namespace {

/// For the network delay of the last reply and the rounding of both clocks.
constexpr Milliseconds leaseMargin {150};

} // namespace

std::string_view nameOf(CrashEvidence evidence)
{
    switch (evidence) {
    case CrashEvidence::Restarted:
        return "restarted";
    case CrashEvidence::Replaced:
        return "replaced";
    case CrashEvidence::NotCarriedOver:
        return "not_carried_over";
    case CrashEvidence::StartLog:
        break;
    }
    return "start_log";
}

std::string_view nameOf(AbsenceEvidence evidence)
{
    switch (evidence) {
    case AbsenceEvidence::Answered:
        return "answered";
    case AbsenceEvidence::Unlisted:
        return "unlisted";
    case AbsenceEvidence::NotCarriedOver:
        return "not_carried_over";
    case AbsenceEvidence::LeaseExpired:
        return "lease_expired";
    case AbsenceEvidence::Restarted:
        break;
    }
    return "restarted";
}

ReplySource CellWorker::sourceOf(const CallTarget &target, const WorkerReply &reply,
                                 TimePoint now) const
{
    const bool isSameTarget = target.incarnation == incarnation;
    // Only an incarnation with the same start time has a clock that is behind that of a call to it.
    // It had ended before the present one was found by this.
    const bool isBeforeRestart = isSameTarget && clockAt_ && target.clock > clock_ && reply.clock
            && *reply.clock >= target.clock;
    // An earlier incarnation has ended before the store or a reply shows the present one, so it
    // does not answer a call that was sent later.
    if (reply.incarnation) {
        if (hasEnded(*reply.incarnation))
            return ReplySource::Other;
        if (isBeforeRestart && reply.incarnation == incarnation)
            return ReplySource::Other;
        const bool isEarlier = incarnation && *reply.incarnation < *incarnation;
        return isEarlier && !isSameTarget ? ReplySource::Other : ReplySource::Present;
    }
    if (!isSameTarget || isBeforeRestart)
        return ReplySource::Other;
    if (!reply.clock)
        return ReplySource::Unproven;
    // Only a later incarnation's clock may be behind one that was read before.
    if (*reply.clock < target.clock)
        return ReplySource::Other;
    const std::int64_t age = (now - seenAt_).count();
    const WorkerTime latestOfNext(age + age / clockDriftDivisor + leaseMargin.count());
    return *reply.clock > latestOfNext ? ReplySource::Present : ReplySource::Unproven;
}

void CellWorker::updateClock(WorkerTime clock, TimePoint at)
{
    if (clockAt_ && clock < clock_)
        return;
    clock_ = clock;
    clockAt_ = at;
}

WorkerTime CellWorker::estimatedClock(TimePoint now) const
{
    return clockAt_ ? clock_ + WorkerTime((now - *clockAt_).count()) : WorkerTime();
}

std::optional<WorkerTime> CellWorker::timeToLeaving(TimePoint now) const
{
    if (!entry || !entry->draining || !entry->remaining || !entry->reportedAt || !clockAt_)
        return std::nullopt;
    return *entry->reportedAt + WorkerTime(entry->remaining->count()) - estimatedClock(now);
}

std::optional<Milliseconds> CellWorker::timeToLeaseExpiry(TimePoint now) const
{
    if (!clockAt_)
        return unreadLeaseEnd_ ? std::optional(*unreadLeaseEnd_ - now) : std::nullopt;
    const std::int64_t remaining = (leaseBound_ - clock_).count();
    if (remaining <= 0)
        return Milliseconds(remaining);
    const Milliseconds longestRemaining(remaining + remaining / clockDriftDivisor);
    return longestRemaining + leaseMargin - (now - *clockAt_);
}

bool CellWorker::isLeaseExpired(TimePoint now) const
{
    const std::optional<Milliseconds> remaining = timeToLeaseExpiry(now);
    return remaining && (*remaining < Milliseconds() || (clockAt_ && leaseBound_ <= clock_));
}

Placement *CellWorker::find(const TaskKey &task, RunNumber run)
{
    for (Placement &placement : placements) {
        if (placement.run == run && placement.task == task)
            return &placement;
    }
    return nullptr;
}

void CellWorker::countOrphanedRuns()
{
    const auto isOrphaned = [](const Placement &placement) {
        const bool hasAllocation
                = placement.need.processors.count() > 0 || placement.need.memory.count() > 0;
        return placement.isUndecided || (!hasAllocation && placement.stopRequested);
    };
    orphanedRuns = static_cast<std::size_t>(
            std::count_if(placements.begin(), placements.end(), isOrphaned));
}

Resources CellWorker::freeResources() const
{
    Resources free = entry ? entry->capacity : Resources();
    for (const Placement &placement : placements)
        free -= placement.need;
    return free;
}

Resources CellWorker::longRunningResources() const
{
    Resources used;
    for (const Placement &placement : placements) {
        if (placement.isLongRunning)
            used += placement.need;
    }
    return used;
}

void CellWorker::endIncarnation(WorkerIncarnation next)
{
    if (incarnation)
        endedIncarnations.insert(*incarnation);
    std::erase_if(endedIncarnations, [&](WorkerIncarnation ended) { return ended <= next; });
}

void CellWorker::startIncarnation(std::optional<WorkerIncarnation> newIncarnation)
{
    if (incarnation != newIncarnation) {
        firstReadAt.reset();
        isReplaced = false;
    }
    incarnation = newIncarnation;
    isStateRead = isPartlyRead = false;
    firstListClock.reset();
    completions = {};
    placements.clear();
    expiredPlacements.clear();
    orphanedRuns = 0;
    clockAt_.reset();
    clock_ = leaseBound_ = {};
    unreadLeaseEnd_.reset();
    seenAt_ = {};
}

void CellWorker::carryOver(Placement placement, std::optional<WorkerIncarnation> earlier,
                           TimePoint leaseEnd)
{
    placement.confirmedAt.reset();
    placement.absentSince.reset();
    placement.startDeadline.reset();
    placement.isOnPresentIncarnation = false;
    placement.stopInFlight = false;
    placement.stopAcceptedAt.reset();
    placement.nextStopAttempt = {};
    placement.sentAt = {};
    if (!placement.sentToIncarnation)
        placement.sentToIncarnation = earlier;
    placements.push_back(std::move(placement));
    unreadLeaseEnd_ = leaseEnd;
}

} // namespace caraway::cell
