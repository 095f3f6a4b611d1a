#pragma once

#include "Cell/CallTotals.h"
#include "Cell/CellContext.h"
#include "Cell/CellWorker.h"
#include "Cell/CommonCause.h"
#include "Cell/Records.h"

#include <map>

namespace caraway::cell {

/// The holder's view of all workers. Renews their leases by heartbeats, reads the runs and
/// completions that they list, starts and stops runs, and resolves the outcome of unanswered calls.
class WorkerFleet
{
public:
    /// What is done with a run that a worker lists and the fleet has not placed.
    struct RunDecision
    {
        enum class Kind {
            Keep,
            Stop,
            /// Open until decide() is called.
            Later,
        };

        Kind kind = Kind::Stop;
        /// The resources to allocate to a run that is kept.
        Resources need = {};
        /// What the run counts for until it has ended, also one that is stopped.
        AccountCharge charge = {};
        bool isLongRunning = false;
    };
    struct Handlers
    {
        std::function<void(const CellWorker &, const TaskKey &, RunNumber)> started;
        /// A worker lists a run that the fleet has not placed.
        std::function<RunDecision(const CellWorker &, const RunningTask &)> discovered;
        std::function<void(const CellWorker &, const RunningTask &)> progressed;
        /// Returns true when the completion has to be recorded before the worker may discard it.
        std::function<bool(const CellWorker &, const CompletedRun &)> completed;
        /// The run is not on the worker and can no longer start there.
        std::function<void(const CellWorker &, const TaskKey &, RunNumber, WorkerOutcome,
                           AbsenceEvidence)>
                notOnWorker;
        /// The worker's incarnation ended without notice under these runs. Called before the runs
        /// are reported as not on the worker.
        std::function<void(const CellWorker &, std::optional<WorkerIncarnation>, CrashEvidence,
                           const std::vector<Placement> &)>
                crashed;
        /// The worker's incarnation runs on, and the runs have expired with its lease.
        std::function<void(const CellWorker &, const std::vector<Placement> &)> expired;
        /// A worker has answered a start, so long after its decision.
        std::function<void(Milliseconds)> startAnswered;
        /// A start received no reply; the run may exist.
        std::function<void(const TaskKey &, RunNumber)> startUnanswered;
        /// A worker has seen the fencing token of a later holder.
        std::function<void()> fenced;
        /// Whether runs may be stopped now; otherwise stops are sent when leases may be renewed.
        std::function<bool()> mayStop;
    };
    struct StartRequest
    {
        TaskKey task;
        RunNumber run;
        std::string payload;
        std::string checkpoint;
        std::string ticket;
        /// Nothing when the start needs no ticket.
        std::optional<TimePoint> ticketValidUntil = std::nullopt;
        Resources need;
        AccountCharge charge;
        bool isLongRunning = false;
    };
    using Workers = std::map<WorkerId, CellWorker>;

    WorkerFleet(CellContext &context, Handlers handlers);

    /// Starts a term; \a roster lists the workers that earlier holders may have used.
    /// \a earlierRenewalsEnd is the latest time at which an earlier holder may renew leases by
    /// their full length.
    void startTerm(FencingToken token, const Roster &roster, TimePoint earlierRenewalsEnd);
    void setEarlierRenewalsEnd(TimePoint time) { earlierRenewalsEnd_ = time; }
    /// No lease is renewed beyond \a time.
    void setLatestLeaseEnd(TimePoint time) { latestLeaseEnd_ = time; }
    /// When the store was last asked whether this process is the holder, and confirmed it.
    void setConfirmedAt(TimePoint time) { confirmedAt_ = time; }
    /// Whether a later confirmation is needed before workers receive work, or before the leases of
    /// earlier holders count as expired.
    bool awaitsConfirmation() const
    {
        return active_
                && (latestFirstRead_ >= confirmedAt_
                    || (!recovered_ && areEarlierLeasesOver(context_.now())
                        && !areEarlierLeasesOver(confirmedAt_)));
    }
    void endTerm();
    void setEntry(const WorkerEntry &entry);
    void removeEntry(const WorkerId &id);
    /// The roster that describes the present state of the workers.
    Roster currentRoster() const;
    /// The store contains \a roster.
    void setRoster(const Roster &roster);
    /// Excludes workers that are not in \a roster, or closed in it, from starts before it is
    /// written.
    void restrictRoster(const Roster &roster);

    void start(const WorkerId &worker, StartRequest request);
    /// Allocates the resources of a run that sendStart() starts later.
    void reserve(const WorkerId &worker, const StartRequest &request);
    /// Starts a reserved run, unless it was stopped or the worker restarted since. Releases its
    /// capacity when its ticket has expired.
    void sendStart(const WorkerId &worker, StartRequest request);
    /// Releases the capacity of a start that was not sent.
    void discardStart(const WorkerId &worker, const StartRequest &request);
    /// Whether the reserved start was stopped, or has been lost with its worker.
    bool isStopRequested(const WorkerId &worker, const StartRequest &request);
    /// Whether a reserved start may still be sent to the worker.
    bool mayReceive(const WorkerId &worker) const;
    void stop(const WorkerId &worker, const TaskKey &task, RunNumber run);
    /// Whether decide() has to be called for the run.
    bool isUndecided(const WorkerId &worker, const TaskKey &task, RunNumber run);
    void decide(const WorkerId &worker, const TaskKey &task, RunNumber run,
                const RunDecision &decision);
    /// The completion is in the store, so the worker may discard it.
    void onCompletionRecorded(const WorkerId &worker, WorkerIncarnation incarnation,
                              CompletionNumber number);
    /// Sends the calls that are due. Leases are renewed, completions acknowledged and runs stopped
    /// only while \a mayRenew.
    void tick(bool mayRenew);
    /// Sends the next heartbeat to workers that have replied, or whose completions were recorded,
    /// since the last call.
    void sendDueHeartbeats(bool mayRenew);

    const Workers &workers() const { return workers_; }
    const CellWorker *worker(const WorkerId &id) const;
    /// Whether the task had a run on a worker whose lease expired a short time ago and that has not
    /// returned, so that it is open whether the worker crashed. \a onlyListed leaves out workers
    /// that may be lost for good.
    bool mayHaveCrashedUnder(const TaskKey &task, bool onlyListed) const;
    /// Whether another worker that has started later is at the address, so that the incarnation has
    /// ended.
    bool isReplaced(const Address &address, const WorkerId &worker,
                    WorkerIncarnation incarnation) const;
    /// The last outage of each worker from which its incarnation has not returned.
    const std::map<WorkerId, WorkerOutage> &outages() const { return outages_; }
    /// Whether new work may be placed on the worker.
    bool isUsable(const CellWorker &worker) const;
    /// Whether all runs of earlier holders are known: each worker of the roster was read, or its
    /// lease has expired. A worker that answers with incomplete lists is waited for.
    bool isRecovered() const { return recovered_; }
    /// Whether an earlier holder may have started a run of the job that is not known yet.
    bool mayHaveUnknownRuns(const JobId &job) const
    {
        return !recovered_ && (isOpenWorkerUnread_ || jobsOnUnreadWorkers_.contains(job));
    }
    std::vector<WorkerId> unreadWorkers() const;
    /// The most that runs on the worker may use that are not known, or not with their needs.
    Resources unknownUse(const CellWorker &worker) const;
    /// Starts that were sent and whose replies have not been handled yet.
    std::size_t unansweredStarts() const { return unansweredStarts_; }
    CallTotals takeCallTotals() { return std::exchange(callTotals_, {}); }

private:
    /// What a reply to a start or a stop is about, and which incarnation has sent it.
    struct RunReply
    {
        CellWorker *worker = nullptr;
        Placement *placement = nullptr;
        ReplySource source = ReplySource::Other;
    };

    void sendHeartbeat(CellWorker &worker, bool mayRenew);
    /// The number up to which the next heartbeat acknowledges completions; logs when some of them
    /// were never listed.
    CompletionNumber nextAcknowledgement(const CellWorker &worker) const;
    void scheduleHeartbeat(CellWorker &worker);
    WorkerTime renewedLeaseEnd(const CellWorker &worker) const;
    /// Logs that another incarnation has carried out a heartbeat than the one that it was sent to.
    void logMisdelivery(const CallTarget &target, CompletionNumber acknowledged,
                        const WorkerReply &reply);
    /// Counts and logs that an incarnation has carried out a heartbeat whose reply is not used, so
    /// that it may have discarded completions that were not read.
    void recordUnusedReply(CellWorker &worker, const CallTarget &target,
                           CompletionNumber acknowledged, const WorkerReply &reply);
    void onHeartbeatReply(const CallTarget &target, bool mayRenew, CompletionNumber acknowledged,
                          const WorkerReply &reply);
    void handleLists(CellWorker &worker, const CallTarget &target, const WorkerReply &reply);
    void handleCompletions(CellWorker &worker, const CallTarget &target, const WorkerReply &reply);
    void handleRunningTasks(CellWorker &worker, const WorkerReply &reply);
    void removeAbsentPlacements(CellWorker &worker, const CallTarget &target,
                                const WorkerReply &reply);
    /// Whether a list without the run, requested at \a requestedAt and made at \a clock, shows that
    /// the run is not on the worker and cannot start there.
    static bool isAbsent(const Placement &placement, TimePoint requestedAt, WorkerTime clock);
    /// Updates the worker from a reply to a start or a stop. Nothing when the worker or the
    /// placement is gone.
    std::optional<RunReply> applyRunReply(const CallTarget &target, const TaskKey &task,
                                          RunNumber run, const WorkerReply &reply);
    void recordStartDelay(const CallTarget &target, const WorkerReply &reply);
    void onStart(const CallTarget &target, const TaskKey &task, RunNumber run,
                 const WorkerReply &reply);
    void onStop(const CallTarget &target, const TaskKey &task, RunNumber run,
                const WorkerReply &reply);
    void sendStop(CellWorker &worker, const TaskKey &task, RunNumber run);
    void resendStops(CellWorker &worker);
    void removePlacement(CellWorker &worker, const TaskKey &task, RunNumber run,
                         WorkerOutcome outcome,
                         AbsenceEvidence evidence = AbsenceEvidence::Answered);
    /// Discards what is known about the worker, after the expiry of its lease, and reports that its
    /// runs are not on it any more.
    void resetWorker(CellWorker &worker);
    /// Discards what is known about the earlier incarnation, except the runs whose starts may have
    /// reached the new one.
    void restartWorker(CellWorker &worker, std::optional<WorkerIncarnation> newIncarnation);
    /// Reports that the incarnation ended under the \a lost runs, unless it was draining.
    void reportCrash(CellWorker &worker, std::optional<WorkerIncarnation> incarnation,
                     CrashEvidence evidence, const std::vector<Placement> &lost);
    /// Reports the crash of the present incarnation under the runs there that are \a lost, and
    /// under those that have expired with its lease.
    void reportCrash(CellWorker &worker, CrashEvidence evidence,
                     const std::function<bool(const Placement &)> &isLost);
    /// Keeps when the present incarnation was lost and under which runs, unless that is known.
    void beginOutage(const CellWorker &worker);
    /// Discards the outage of the present incarnation, as it is running.
    void endOutage(const CellWorker &worker);
    void discardOldOutages();
    void updateIncarnation(CellWorker &worker, std::optional<WorkerIncarnation> incarnation);
    void countOutcome(WorkerOutcome outcome);
    /// Updates the state of the worker from the reply, unless another incarnation has sent it.
    ReplySource updateFromReply(CellWorker &worker, const CallTarget &target,
                                const WorkerReply &reply);
    void logCapacity(const CellWorker &worker, const Resources &capacity);
    /// The expired runs ended with the lease, as the incarnation is known to have run on.
    void discardExpiredRuns(CellWorker &worker);
    /// Whether the start time can be true; entries of other writers may be false.
    bool isPlausible(WorkerIncarnation incarnation) const;
    /// Keeps which worker is at the address; one that was there before has been replaced.
    void updateAddress(const WorkerEntry &entry);
    /// The process has ended, as another worker has started at its address.
    void markReplaced(CellWorker &worker);
    void countUnanswered(CellWorker &worker, const CallTarget &target, WorkerOutcome outcome);
    void logUnreachable(const CellWorker &worker, WorkerOutcome outcome);
    void expireLease(CellWorker &worker);
    /// Whether the worker may still return and show that it crashed under its expired runs.
    bool awaitsReturn(const CellWorker &worker) const;
    /// Whether the leases that earlier holders have renewed were over at \a time.
    bool areEarlierLeasesOver(TimePoint time) const;
    void checkRecovery();
    bool belongsInRoster(const CellWorker &worker) const;
    bool isSilent(const CellWorker &worker) const;
    /// Whether the holder was confirmed after it had read the worker's incarnation. Each later
    /// holder then reads the worker, or waits for its lease, before it starts older jobs.
    bool isConfirmedSinceRead(const CellWorker &worker) const
    {
        return worker.firstReadAt && confirmedAt_ > *worker.firstReadAt;
    }
    bool shouldBeClosed(const CellWorker &worker) const;
    CellWorker *findWorker(const WorkerId &id);
    CellWorker &findOrAdd(const WorkerId &id);
    WorkerNumber takeNumber() { return std::exchange(nextNumber_, nextNumber_.next()); }

    CellContext &context_;
    Handlers handlers_;
    FencingToken token_;
    Workers workers_;
    std::map<WorkerId, WorkerOutage> outages_;
    /// The worker that was last listed at an address.
    std::map<Address, WorkerId> workersByAddress_;
    WorkerNumber nextNumber_;
    /// Counts terms, so that replies to calls of an earlier term are ignored.
    std::uint64_t term_ = 0;
    bool active_ = false;
    TimePoint termStartedAt_;
    TimePoint earlierRenewalsEnd_;
    TimePoint latestLeaseEnd_;
    TimePoint confirmedAt_;
    /// The latest firstReadAt of all workers in this term.
    TimePoint latestFirstRead_;
    bool recovered_ = false;
    /// An unread worker of the roster may have runs of any older job.
    bool isOpenWorkerUnread_ = false;
    std::set<JobId> jobsOnUnreadWorkers_;
    /// Workers whose next heartbeat became due between two ticks.
    std::vector<WorkerId> dueHeartbeats_;
    std::size_t unansweredStarts_ = 0;
    CallTotals callTotals_;
};

} // namespace caraway::cell
