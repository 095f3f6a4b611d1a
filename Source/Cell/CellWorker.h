#pragma once

#include "Cell/ClientAccount.h"
#include "Cell/CompletionNumbers.h"

#include <algorithm>
#include <set>

namespace caraway::cell {

/// An allocation on a worker: the resources of a run that is there or may be there. It lasts until
/// the worker's replies or the expiry of its lease show that the run is not there and cannot start.
struct Placement
{
    TaskKey task;
    RunNumber run;
    Resources need;
    AccountCharge charge;
    /// Whether the task runs until its job is cancelled.
    bool isLongRunning = false;
    /// The latest time, on the worker's clock, at which the worker confirmed the run; nothing
    /// before the first confirmation.
    std::optional<WorkerTime> confirmedAt;
    /// When a reply first lacked the confirmed run and its completion.
    std::optional<TimePoint> absentSince;
    /// The worker refuses to start the run after this time on its own clock. Nothing when the
    /// worker has restarted since, as its clock has started again.
    std::optional<WorkerTime> startDeadline;
    /// The worker's clock when the start was sent, or at most its clock then for a run of an
    /// earlier holder.
    WorkerTime sentAt;
    /// Whether the start may have reached the worker.
    bool startSent = false;
    /// When a start was answered, or found to be unanswered.
    std::optional<TimePoint> startAnsweredAt;
    /// Whether a reply has shown that the start reached the present incarnation.
    bool isOnPresentIncarnation = false;
    /// The incarnation that ended after the start had been sent, without a proof that the start had
    /// reached it, so that the next incarnation may have the run.
    std::optional<WorkerIncarnation> sentToIncarnation;
    /// The run's job is not known, so it is open whether the run is kept and what it needs.
    bool isUndecided = false;
    bool stopRequested = false;
    bool stopInFlight = false;
    /// The time, on the worker's clock, at which it accepted a stop of the run.
    std::optional<WorkerTime> stopAcceptedAt;
    TimePoint nextStopAttempt;

    /// How long after its start the worker last listed the run; nothing when it never did.
    std::optional<WorkerTime> listedFor() const
    {
        return confirmedAt ? std::optional(*confirmedAt - sentAt) : std::nullopt;
    }
};

/// A worker as the holder knew it when it sent a call. The worker may start again under its id, so
/// another incarnation may send the reply.
struct CallTarget
{
    WorkerId worker;
    std::optional<WorkerIncarnation> incarnation;
    /// The worker's clock in its last reply before the call.
    WorkerTime clock;
    TimePoint sentAt;
    /// The incarnation that its entry named then; nothing without an entry.
    std::optional<WorkerIncarnation> listed;
};

/// Why a worker counts as crashed under runs.
enum class CrashEvidence {
    /// A later incarnation of the worker is known.
    Restarted,
    /// Another worker has started at the address.
    Replaced,
    /// The start was sent to an earlier incarnation, and the present one does not list the run.
    NotCarriedOver,
    /// An earlier holder sent the start to an incarnation that has ended.
    StartLog,
};

std::string_view nameOf(CrashEvidence evidence);

/// Why a run counts as not on its worker.
enum class AbsenceEvidence {
    /// The worker has answered that the run completed or did not start, or the start was not sent.
    Answered,
    /// The worker lists neither the run nor its completion.
    Unlisted,
    /// The present incarnation of the worker does not list a run whose start an earlier one may
    /// have received.
    NotCarriedOver,
    LeaseExpired,
    Restarted,
};

std::string_view nameOf(AbsenceEvidence evidence);

/// Which incarnation of a worker has sent a reply.
enum class ReplySource {
    /// The present one, or a later one that the reply names.
    Present,
    /// The present one, unless a later one has replied that is not known yet.
    Unproven,
    /// An earlier one, or one that is not known.
    Other,
};

/// The holder's state of one worker: its list entry, clock, lease and allocations.
class CellWorker
{
public:
    CellWorker(WorkerId id, WorkerNumber number)
        : id_(std::move(id))
        , number_(number)
    {
    }

    const WorkerId &id() const { return id_; }
    WorkerNumber number() const { return number_; }
    void setNumber(WorkerNumber number) { number_ = number; }
    /// The latest list entry; kept after the worker is removed from the list, because runs may
    /// still be on it.
    std::optional<WorkerEntry> entry;
    bool isListed = false;
    /// Whether the stored worker roster contains this worker.
    bool isInRoster = false;
    /// Set while the stored roster closes the worker to starts: the jobs that may have runs there.
    std::optional<std::set<JobId>> closedWithJobs;
    /// Whether all its running tasks and completions were read under the current fencing token and
    /// in its current incarnation.
    bool isStateRead = false;
    /// Whether the runs of earlier holders there are known: it was read, and the holder confirmed
    /// since. Stays set when it restarts, as each of them is lost on its own then.
    bool areEarlierRunsKnown = false;
    /// Whether its last list under the current fencing token may have lacked completions, so that
    /// runs of earlier holders may have ended there unnoticed.
    bool isPartlyRead = false;
    /// When the present incarnation was first read under the current fencing token.
    std::optional<TimePoint> firstReadAt;
    /// The worker's clock in the first and in the latest list under the current fencing token.
    std::optional<WorkerTime> firstListClock;
    WorkerTime lastListClock;
    bool heartbeatInFlight = false;
    /// Whether the lists in the reply to its last heartbeat were used. Otherwise the next heartbeat
    /// may reach an incarnation that was not read, and acknowledges nothing.
    bool isLastListUsed = false;
    TimePoint nextHeartbeat;
    /// Whether the worker reported itself unhealthy at the last heartbeat, and did not renew its
    /// lease.
    bool isUnhealthy = false;
    /// Consecutive calls without an answer.
    int unansweredCalls = 0;
    TimePoint lastReplyAt;
    /// No new work is placed until then, after the worker reported itself unhealthy or did not
    /// answer.
    TimePoint avoidUntil;
    std::optional<WorkerIncarnation> incarnation;
    /// Incarnations with later start times than the present one that are known to have ended, as
    /// the time of day has been set back.
    std::set<WorkerIncarnation> endedIncarnations;
    CompletionNumbers completions;
    std::vector<Placement> placements;
    /// Runs that expired with the lease. Whether the worker crashed under them shows when it
    /// returns, in the same incarnation or in a new one.
    std::vector<Placement> expiredPlacements;
    TimePoint leaseExpiredAt;
    /// The time, on the worker's clock, by which they had ended; nothing when its clock was
    /// unknown.
    std::optional<WorkerTime> expiredLeaseEnd;
    /// Whether another worker has started at the address, so that the process has ended.
    bool isReplaced = false;
    /// When the next unused reply to a heartbeat may be logged.
    TimePoint nextUnusedReplyLog;
    /// The incarnation that announced that it drains, so that its end is no crash.
    std::optional<WorkerIncarnation> drainedIncarnation;
    /// Runs that belong to no known unfinished job. They are undecided or being stopped, and the
    /// resources that they use are unknown.
    std::size_t orphanedRuns = 0;

    CallTarget callTarget(TimePoint now) const
    {
        return {id_, incarnation, clock_, now,
                entry ? std::optional(entry->incarnation) : std::nullopt};
    }
    /// Which incarnation has sent \a reply to a call to \a target. Only a list of runs names its
    /// incarnation; of other replies, the target and the clock tell.
    ReplySource sourceOf(const CallTarget &target, const WorkerReply &reply, TimePoint now) const;
    /// Whether the completion of a run that was not listed may still be listed.
    bool mayListLate() const
    {
        return !firstListClock
                || lastListClock - *firstListClock < WorkerTime(lateListingLimit.count());
    }
    /// The present incarnation was running at \a time.
    void setSeenAt(TimePoint time) { seenAt_ = std::max(seenAt_, time); }
    void updateClock(WorkerTime clock, TimePoint at);
    bool hasClock() const { return clockAt_.has_value(); }
    /// The worker's clock at \a now, estimated from its last reply.
    WorkerTime estimatedClock(TimePoint now) const;
    /// The latest time, on the worker's clock, at which its lease may expire.
    std::optional<WorkerTime> leaseEnd() const
    {
        return clockAt_ ? std::optional(leaseBound_) : std::nullopt;
    }
    /// The minimum time until the worker leaves, on its own clock; negative when it may have left.
    /// Nothing when it has not announced that it leaves, or its clock is unknown.
    std::optional<WorkerTime> timeToLeaving(TimePoint now) const;
    /// Raises the latest time at which the worker's lease may expire to \a deadline.
    void extendLeaseBound(WorkerTime deadline) { leaseBound_ = std::max(leaseBound_, deadline); }
    /// Whether the lease has expired even if the worker's clock is slow, so that nothing runs
    /// there.
    bool isLeaseExpired(TimePoint now) const;
    /// Whether its lease has expired since the store confirmed the holder, so that a later holder
    /// may have renewed it.
    bool isExpiryUnconfirmed(TimePoint confirmedAt) const
    {
        return leaseExpiredAt != TimePoint() && leaseExpiredAt >= confirmedAt;
    }
    /// Time until isLeaseExpired(), negative afterwards; nothing while it is unknown.
    std::optional<Milliseconds> timeToLeaseExpiry(TimePoint now) const;

    Placement *find(const TaskKey &task, RunNumber run);
    void countOrphanedRuns();
    Resources freeResources() const;
    /// What long-running tasks use.
    Resources longRunningResources() const;
    bool hasEnded(WorkerIncarnation other) const { return endedIncarnations.contains(other); }
    /// The process at the worker's address is \a next, so the present incarnation has ended.
    void endIncarnation(WorkerIncarnation next);
    /// Discards all state of the earlier incarnation.
    void startIncarnation(std::optional<WorkerIncarnation> newIncarnation);
    /// Keeps the allocation of a run that may be on the present incarnation, although its start was
    /// sent to an earlier one. \a leaseEnd is the latest time at which the lease of the run may
    /// expire if the present incarnation never replies.
    void carryOver(Placement placement, std::optional<WorkerIncarnation> earlier,
                   TimePoint leaseEnd);

private:
    WorkerId id_;
    WorkerNumber number_;
    WorkerTime clock_;
    std::optional<TimePoint> clockAt_;
    WorkerTime leaseBound_;
    /// The end of the lease while the clock is unknown; nothing when there is no lease.
    std::optional<TimePoint> unreadLeaseEnd_;
    /// The latest time at which the present incarnation is known to have been running.
    TimePoint seenAt_;
};

} // namespace caraway::cell
