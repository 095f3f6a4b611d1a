#pragma once

#include "Cell/AccountLedger.h"
#include "Cell/ApprovalDispatcher.h"
#include "Cell/CellJob.h"
#include "Cell/ConfigurationCache.h"
#include "Cell/HolderElection.h"
#include "Cell/PassOptions.h"
#include "Cell/PassReport.h"
#include "Cell/Policy/HeadroomPolicy.h"
#include "Cell/Policy/PassPacing.h"
#include "Cell/Policy/StartLimit.h"
#include "Cell/Policy/StartOrder.h"
#include "Cell/Policy/SubmissionRate.h"
#include "Cell/Policy/WaitEstimate.h"
#include "Cell/Policy/WorkerChoice.h"
#include "Cell/ProgressRecorder.h"
#include "Cell/StartLog.h"
#include "Cell/UnknownJobs.h"
#include "Cell/WorkerFleet.h"

#include <unordered_set>

namespace caraway::cell {

/// Schedules the cell while this process is its holder: tracks the accepted jobs, starts their
/// tasks on workers with free capacity, handles completions, and has progress and results stored.
/// One object serves all terms of the process; startTerm() and endTerm() bound a term.
class CellScheduler
{
public:
    struct Term
    {
        FencingToken token;
        std::uint64_t generation = 0;
        StorePrecondition holder;
        ProgressRecorder::SequenceRevisions sequences = {};
        Roster roster;
        TimePoint earlierRenewalsEnd;
        std::map<std::uint64_t, StartLogSegment> startLog;
    };
    struct Handlers
    {
        std::function<void(const JobId &, JobState)> stateChanged;
        /// Another holder has taken over.
        std::function<void()> superseded;
        /// Whether this process is confirmed as the holder at the time of the present event.
        std::function<bool()> maySchedule;
    };

    CellScheduler(CellContext &context, const ConfigurationCache &configuration, Handlers handlers);

    void startTerm(Term term);
    void endTerm();
    bool isActive() const { return active_; }
    bool awaitsConfirmation() const
    {
        return fleet_.awaitsConfirmation() || !unconfirmedLosses_.empty();
    }

    /// Adds a job read from the store; ignored when the job was added before or has finished.
    void addJob(const AcceptedJob &job, const JobProgress &progress);
    /// Adds a job that an instance reports as just accepted and stored.
    void addNewJob(const AcceptedJob &job);
    void cancelJob(const JobId &job);
    /// Records that a job finished in an earlier term, with its result in the store.
    void addStoredResult(const JobId &id);
    /// Whether the stored jobs have to be listed, as workers list jobs that were not added. True
    /// once for each list.
    bool isJobListDue() { return active_ && unknownJobs_.isListDue(context_.now()); }
    /// All jobs were added that are in a list whose first request was sent at \a sentAt.
    void onJobsListed(TimePoint sentAt);
    void setWorker(const WorkerEntry &entry) { fleet_.setEntry(entry); }
    void removeWorker(const WorkerId &id) { fleet_.removeEntry(id); }

    /// The latest time at which an earlier holder may renew leases of workers by their full length.
    void setEarlierRenewalsEnd(TimePoint time) { fleet_.setEarlierRenewalsEnd(time); }
    /// When the store was last asked whether this process is the holder, and confirmed it.
    void setConfirmedAt(TimePoint time);

    /// Does all periodic work that is due; tasks are started and leases extended only if
    /// \a maySchedule. Events that were received before \a createdAt have been handled.
    void tick(TimePoint createdAt, bool maySchedule);
    /// To be called after a batch of events: runs a scheduling pass if one is due, and makes the
    /// calls to workers and to the store that the events require. Returns what the pass has looked
    /// at, and nothing without a pass.
    std::optional<PassReport> onEventsHandled(bool maySchedule);
    /// The last pass ended at \a endedAt.
    void recordPassTime(TimePoint endedAt, const PassDuration &duration);
    /// An event has waited for so long until it was handled.
    void recordEventDelay(Milliseconds delay)
    {
        longestEventDelay_ = std::max(longestEventDelay_, delay);
        startLimit_.recordEventDelay(delay);
    }

    ApprovalDispatcher &approvalDispatcher() { return approvalDispatcher_; }
    std::vector<QueueLoad> queueLoads() const;
    /// The state of an unfinished job that this holder schedules.
    std::optional<JobState> stateOf(const JobId &id) const;
    std::size_t jobCount() const { return jobs_.size(); }

private:
    /// Maximum number of workers in one approval request.
    static constexpr std::size_t maxWorkersPerRequest = 100;

    using Choice = BestFitChoice;
    using Order = ObjectiveOrder;
    using Headroom = ArrivalHeadroom;
    using Pacing = ProcessorSharePacing;
    using Limit = DelayLimit;
    using Wait = BacklogWait;
    using Rate = WeightRate;

    /// A start that is sent once the store has it.
    struct RecordedFirst
    {
        WorkerId worker;
        WorkerFleet::StartRequest request;
        bool isRecorded = false;
    };
    /// How the run of an earlier holder's start ended.
    enum class OpenStartOutcome {
        Unknown,
        /// The worker does not list the run, and may still list its completion.
        Unlisted,
        Crashed,
        /// Otherwise, or it does not matter any more, or the worker lists the run.
        Settled,
    };
    /// A run that was on a worker when it crashed.
    struct LostRun
    {
        TaskKey task;
        RunNumber run;
        /// How long after its start the worker last listed the run; nothing when it never did, or
        /// an earlier holder started it.
        std::optional<WorkerTime> listedFor;
    };
    /// An outage of another worker at the time of a crash.
    struct OutageBeside
    {
        const WorkerId *worker = nullptr;
        const WorkerOutage *outage = nullptr;
        /// See CellScheduler::isExplained(); nothing before it is asked.
        std::optional<bool> isExplained;
    };
    /// What became of the other workers, by the jobs for which it explains a crash.
    using JobsOfSharedCrash = std::map<JobId, CommonCause::Others>;
    /// A worker on which the policy service has not decided for a step.
    struct UndecidedWorker
    {
        /// Dominant share of the worker's free capacity that one task needs.
        double neededShare = 0;
        /// How many tasks of the step the worker can run.
        std::int64_t tasks = 0;
        const CellWorker *worker = nullptr;

        /// For a heap with the worker that has the most free capacity on top.
        bool operator<(const UndecidedWorker &other) const
        {
            return neededShare > other.neededShare;
        }
    };
    /// The workers of an approval request and the numbers that they had then.
    using RequestedWorkers = std::map<WorkerId, WorkerNumber>;
    /// What each worker of an open approval request is likely to run if it is approved.
    using RequestedCapacity = std::vector<std::pair<WorkerNumber, Resources>>;
    /// Free capacity that a step is likely to use when it gets approvals.
    struct Earmark
    {
        std::int64_t tasks = 0;
        /// Why it is nothing.
        ApprovalDecision obstacle = ApprovalDecision::NoRoom;
    };
    /// A worker on which tasks of a step may be placed.
    struct PermittedWorker
    {
        WorkerOption *option = nullptr;
        bool hasTicket = false;
    };
    /// A worker with room for a task of a step. The higher the score, the better the choice.
    struct ScoredWorker
    {
        WorkerOption *option = nullptr;
        double score = 0;
        /// For a task under which no worker has crashed.
        double crashPenalty = 0;
    };
    /// How many members of a gang an approved worker can run.
    struct GangCapacity
    {
        WorkerOption *option = nullptr;
        /// On its free capacity.
        std::int64_t free = 0;
        /// On its capacity but for that of long-running tasks.
        std::int64_t total = 0;
        bool hasTicket = false;
        double crashPenalty = 0;
    };
    /// The state of one scheduling pass.
    struct PassState
    {
        PassOptions options;
        /// Processors of all usable workers.
        Millicores capacity;
        /// Processors needed by the gangs so far that do not fit into free capacity. Above a limit,
        /// no capacity is reserved for further gangs that do not fit.
        Millicores gangDemand;
        /// Free processors of all usable workers at the start of the pass.
        Millicores free;
        PassReport report;
    };

    WorkerFleet::Handlers fleetHandlers();
    ProgressRecorder::Handlers recorderHandlers();

    CellJob *findJob(const JobId &id);
    CellStep *findStep(const TaskKey &key, CellJob *&job);
    /// The task, when \a run on \a worker is its current run; otherwise null.
    CellTask *findRun(const TaskKey &key, RunNumber run, const WorkerId &worker);
    /// The queue's current settings, or those at acceptance when the queue was removed.
    const Queue &queueOf(const CellJob &job) const;

    void onStarted(const CellWorker &worker, const TaskKey &key, RunNumber run);
    WorkerFleet::RunDecision onDiscovered(const CellWorker &worker, const RunningTask &running);
    void onListed(const CellWorker &worker, const RunningTask &running);
    bool onRunCompleted(const CellWorker &worker, const CompletedRun &completion);
    void recordCompletion(const ProgressRecorder::RecordedCompletion &source,
                          const CompletedRun &completion, CellJob &job, CellStep &step);
    void applyCompletion(const ProgressRecorder::RecordedCompletion &source,
                         const CompletedRun &completion, CellJob &job, CellStep &step);
    /// Keeps the completion until it is known whether its job is stored; returns false when it
    /// needs no record.
    bool keepUnknown(const ProgressRecorder::RecordedCompletion &source,
                     const CompletedRun &completion);
    /// Leaves it open whether the run is kept until it is known whether its job is stored.
    WorkerFleet::RunDecision decideUnknown(const CellWorker &worker, const RunningTask &running);
    /// Applies what workers listed of the job before it was added.
    void applyListed(const JobId &id);
    /// Lets the worker discard a completion that needs no record.
    void discardCompletion(const ProgressRecorder::RecordedCompletion &source);
    void onRunNotOnWorker(const CellWorker &worker, const TaskKey &key, RunNumber run,
                          WorkerOutcome outcome, AbsenceEvidence evidence);
    /// Lets the tasks start again whose runs were lost before the latest confirmation.
    void releaseConfirmedLosses();
    void onWorkerCrashed(const CellWorker &worker, WorkerIncarnation incarnation,
                         CrashEvidence evidence, const std::vector<Placement> &lost);
    void onCrashRecorded(const TaskKey &key);
    void onStartRecorded(const TaskKey &key, RunNumber run);
    /// Sends the starts that were recorded, and discards those that were stopped meanwhile or whose
    /// worker may no longer be used.
    void sendRecordedStarts(bool maySchedule);
    void logNotSent(const RecordedFirst &start);
    /// Whether the run's start is recorded first, so that a later holder can tell that the worker
    /// crashed under it.
    static bool recordsStart(const CellStep &step, const CellTask &task);
    /// Compares the starts of earlier holders with the present incarnations of workers.
    void resolveOpenStarts();
    OpenStartOutcome outcomeOf(const LoggedStart &start);
    /// Whether a run of an earlier holder may have completed and not be listed yet.
    bool awaitsCompletion(const TaskKey &key);
    /// Adds the starts in the job's own record to the open ones.
    void addRecordedStarts(const CellJob &job);
    /// Whether the start log has to keep the start.
    bool isStartNeeded(const LoggedStart &start);
    /// Logs that the run ended, or cannot start, and not with a crash of the worker.
    void logEnd(const WorkerId &worker, std::optional<WorkerIncarnation> incarnation,
                const TaskKey &key, RunNumber run);
    /// Counts the crash for the tasks of \a lost runs and fails the jobs that are given up for it.
    void countCrashes(const WorkerCrash &crash, CrashEvidence evidence,
                      const std::vector<LostRun> &lost, const JobsOfSharedCrash &shared);
    /// Returns false when the crash was counted before or the task needs no further run.
    bool countCrash(const WorkerCrash &crash, CrashEvidence evidence, const LostRun &lost,
                    const std::optional<CommonCause::Others> &sharedWith);
    /// For which of the jobs with \a lost runs the crash has a common cause with other outages.
    JobsOfSharedCrash findCommonCause(const WorkerCrash &crash, const std::vector<LostRun> &lost);
    /// The same for crashes that the start log shows.
    std::map<WorkerCrash, JobsOfSharedCrash>
    findCommonCausesInLog(const std::map<WorkerCrash, std::vector<LostRun>> &crashes);
    static std::set<JobId> jobsOf(const std::vector<LostRun> &lost);
    /// Counts the outages of workers without runs of the job, at most as many as are certain to
    /// have a common cause.
    CommonCause::Others othersDown(std::vector<OutageBeside> &outages, const JobId &job);
    /// Whether a task that had a run there may have crashed the worker.
    bool isExplained(const WorkerId &worker, const WorkerOutage &outage);
    /// Adds the workers without runs of the job that did not go down in \a outage.
    void addWorkersStillUp(CommonCause::Others &others, const WorkerId &crashed,
                           const WorkerOutage &outage, const JobId &job) const;
    /// The last incarnation of a worker with starts of earlier holders, and the tasks that may have
    /// been there at the takeover.
    WorkerOutage lastLoggedRuns(const std::vector<LoggedStart> &starts);
    void giveUpIfDue(const TaskKey &key);
    static bool countsAsCrash(const CellStep &step, const Placement &placement);
    void collectSuspects();
    /// Whether the worker receives no runs of the job while a suspect of another job is on
    /// probation there.
    static bool isIsolated(const WorkerOption &option, const JobId &job);
    /// Whether the task is started only when it is known whether its last worker crashed.
    bool awaitsCrashEvidence(const CellStep &step, std::size_t index) const;
    /// The higher, the less the worker should receive a run of the task or gang, to tell tasks that
    /// crash workers from tasks beside them.
    static double crashPenalty(const WorkerOption &option, const JobId &job,
                               const CrashHistory &crashes);
    void onStartUnanswered(const TaskKey &key, RunNumber run);
    void onTaskSucceeded(CellJob &job, CellStep &step, CellTask &task, RunNumber run);
    void recordFailure(CellJob &job, CellStep &step, CellTask &task,
                       const CompletedRun &completion);
    void updateCheckpoint(CellStep &step, CellTask &task, const CompletedRun &completion);
    void stopGang(CellStep &step, RunNumber run);
    /// Stops the runs of the task, and of a gang with it, that are no longer needed as \a succeeded
    /// has ended.
    void stopOtherRuns(CellStep &step, const CellTask &task, RunNumber succeeded);
    void repairGangs();
    void evacuateLeavingWorkers();
    bool completesBefore(const CellJob &job, const CellStep &step, const CellTask &task,
                         WorkerTime remaining) const;
    void evacuate(const CellWorker &worker, const Placement &placement, WorkerTime remaining);

    void finish(CellJob &job, JobState state);
    std::optional<ProgressRecorder::Snapshot> snapshot(const JobId &id);
    void onResultRecorded(const JobId &id, JobState state);
    void markStarted(CellJob &job);
    void updateRoster();
    void expireResults();
    void logLoad();
    /// Logs the calls to workers and the delays since the last line.
    void logCalls();
    void logApprovalDecisions(const ApprovalDecisionCounts &counts);
    void logWaitingSteps();
    void logWaitingStep(const StartCandidate &candidate) const;

    void runSchedulingPass();
    std::vector<StartCandidate> startCandidates();
    /// Tries the candidates in their order; those of accounts that have reached their shares after
    /// the others of their class. False when no more tasks may be started at present.
    bool startInOrder(std::span<StartCandidate> candidates);
    bool tryToStart(StartCandidate &candidate);
    /// Records the tasks that the pass leaves to the next one.
    void recordBacklog(std::span<const StartCandidate> candidates);
    /// Counts what the accounts have running, and the accounts of the \a candidates as waiting.
    void countAccounts(std::span<const StartCandidate> candidates);
    /// Applies the newest configuration to the accounts.
    void configureAccounts();
    /// How many of the waiting tasks the cap of the job's account allows to start now.
    std::int64_t startableTasks(const StartCandidate &candidate) const;
    AccountCharge chargeOf(const CellJob &job, const CellStep &step) const
    {
        return {job.account, step.spec.need};
    }
    void logAccounts();
    bool mayStartMore() const { return startLimit_.mayStart(fleet_.unansweredStarts()); }
    TimePoint objectiveOf(const CellJob &job, const Queue &queue) const;
    /// Minimum time until the repetition completes, with every task started as soon as it is ready.
    Milliseconds remainingTime(const CellJob &job, Occurrence occurrence, const Queue &queue) const;
    bool isStartable(const CellJob &job, const CellStep &step) const;
    void startStep(const StartCandidate &candidate);
    void startIndependentTasks(const StartCandidate &candidate);
    void startGang(const StartCandidate &candidate);
    std::vector<GangCapacity> gangCapacities(const StartCandidate &candidate);
    bool fitsWhenOthersEnd(const StartCandidate &candidate) const;
    void reserveForGang(const StartCandidate &candidate,
                        const std::vector<GangCapacity> &capacities);
    static std::vector<WorkerId> workersWithoutTicket(const std::vector<GangCapacity> &capacities);
    void placeGang(const StartCandidate &candidate, const std::vector<GangCapacity> &capacities);
    void startTask(const StartCandidate &candidate, std::size_t index, RunNumber run,
                   WorkerOption &option);
    RunNumber nextRun(const CellTask &task) const;
    /// The workers that are approved for the step, in no particular order; all that may run it when
    /// it needs no approval.
    std::vector<PermittedWorker> permittedWorkers(const StartCandidate &candidate);
    /// The permitted workers that have a ticket and room for a task of the step, in the order of
    /// the pass.
    std::vector<ScoredWorker> scoredWorkers(const StartCandidate &candidate);
    ScoredWorker scored(WorkerOption &option, const StartCandidate &candidate) const;
    /// The best worker for the task; the end when there is none.
    static std::vector<ScoredWorker>::iterator bestWorker(std::vector<ScoredWorker> &workers,
                                                          const CellTask &task, const JobId &job);
    /// False when it is known that no worker has enough free capacity for a task of the step.
    static bool mayFit(const StartCandidate &candidate);
    /// Whether a task of the step fits into the worker's free capacity.
    static bool fitsFree(const WorkerOption &option, const CellStep &step);
    /// How many tasks of the step fit into the worker's free capacity.
    static std::int64_t fittingTasks(const WorkerOption &option, const CellStep &step)
    {
        return fittingTasks(option, option.free, step);
    }
    /// How many of them fit into \a free.
    static std::int64_t fittingTasks(const WorkerOption &option, Resources free,
                                     const CellStep &step);
    /// Whether an independent task of the step fits on the worker.
    static bool hasRoom(const WorkerOption &option, const CellStep &step);
    void preparePass();
    /// Processors that tasks of the most urgent queues use.
    Millicores runningUrgentProcessors() const;
    bool hasTicket(const WorkerOption &option, const StartCandidate &candidate) const;
    void updateMeanDuration(const CellJob &job, const CellTask &task);
    Milliseconds expectedDuration(const QueueId &queue, const StepSpec &step) const;
    /// Counts the steps of the job that have become due since the last call as arrivals.
    void recordArrivals(CellJob &job);
    static bool isEligible(const CellWorker &worker, const StartCandidate &candidate)
    {
        return PassOptions::isEligible(worker, candidate.queue->upstream,
                                       candidate.step->spec.requiredLabel);
    }
    /// Whether the worker is eligible and its headroom, if any, is for tasks like the step's.
    static bool mayRun(const WorkerOption &option, const StartCandidate &candidate);
    /// Whether, besides, no suspect of another job is on probation there.
    static bool mayPlace(const WorkerOption &option, const StartCandidate &candidate)
    {
        return mayRun(option, candidate) && !isIsolated(option, candidate.step->key.job);
    }
    bool needsApproval(const Queue &queue) const;
    /// Whether an idle worker could run a task of the step.
    bool fitsAnyWorker(const StartCandidate &candidate) const;
    void requestTaskApprovals(const StartCandidate &candidate, std::int64_t tasks);
    ApprovalDecision decideOnTaskRequest(const StartCandidate &candidate, std::int64_t tasks);
    /// Earmarks free capacity for up to \a tasks waiting tasks of the step, on workers that may run
    /// them, so that candidates later in the order ask only about what is left.
    Earmark earmarkCapacity(const StartCandidate &candidate, std::int64_t tasks);
    /// Records that no worker has enough available capacity, and perhaps not enough free capacity,
    /// for a task of the step.
    static void recordUnmet(const StartCandidate &candidate);
    ApprovalDecision requestMissingApprovals(const StartCandidate &candidate, std::int64_t tasks);
    void requestGangApprovals(const StartCandidate &candidate, std::int64_t missing,
                              const std::vector<GangCapacity> &approved,
                              std::vector<WorkerId> withoutTicket);
    /// Requests tickets for a gang that fits.
    void requestGangTickets(const StartCandidate &candidate, std::vector<WorkerId> withoutTicket);
    std::vector<UndecidedWorker> undecidedWorkers(const StartCandidate &candidate,
                                                  bool onFreeCapacity);
    /// Why no approval request for the step can be queued at present; nothing when one can.
    std::optional<ApprovalDecision> requestObstacle(const StartCandidate &candidate) const;
    void recordDecision(const StartCandidate &candidate, ApprovalDecision decision);
    /// For \a tasks independent tasks; 0 for a gang, which reserves capacity itself. Returns false
    /// without \a workers.
    bool queueApprovalRequest(const StartCandidate &candidate, std::vector<WorkerId> workers,
                              std::int64_t tasks);
    std::vector<WorkerId> chooseWorkersToRequest(const StartCandidate &candidate,
                                                 std::vector<UndecidedWorker> undecided,
                                                 double needed);
    double &approvalRateOf(const QueueId &queue);
    /// Counts the tasks of a request as if they were on its workers until it is answered, so that
    /// the requests of many steps at a time name different workers.
    void reserveRequested(const StartCandidate &candidate, const RequestedWorkers &workers,
                          std::int64_t tasks);
    void releaseRequested(const StepKey &key);
    void onApprovalReply(const StepKey &key, const RequestedWorkers &requested,
                         Milliseconds validity, const ApprovalReply &reply);

    CellContext &context_;
    const ConfigurationCache &configuration_;
    Handlers handlers_;
    bool active_ = false;
    std::uint64_t generation_ = 0;
    TimePoint confirmedAt_;
    std::uint64_t term_ = 0;
    std::unordered_map<JobId, std::unique_ptr<CellJob>> jobs_;
    /// Finished jobs whose result is in the store, with the time at which the result expires.
    std::unordered_map<JobId, TimePoint> finishedJobs_;
    std::set<JobId> cancellations_;
    UnknownJobs unknownJobs_;
    /// When the runs of tasks were lost that have not been released since.
    std::map<TaskKey, TimePoint> unconfirmedLosses_;
    /// Jobs with tasks under which workers have crashed.
    std::set<JobId> jobsWithCrashes_;
    StartLog startLog_;
    /// Starts of earlier holders of which it is not known how their runs ended.
    std::map<std::pair<TaskKey, RunNumber>, LoggedStart> openStarts_;
    /// All starts that were open at the takeover, by worker.
    std::map<WorkerId, std::vector<LoggedStart>> takenOverStarts_;
    /// Crashes that this holder has found by the start log.
    std::set<WorkerCrash> loggedCrashes_;
    TimePoint termStartedAt_;
    /// Starts that are sent when they are recorded.
    std::map<TaskKey, RecordedFirst> unsentStarts_;
    Roster roster_;
    bool rosterWritePending_ = false;
    /// Since the last pass, a change occurred that may allow further starts.
    bool passNeeded_ = false;
    /// By the steps with open requests, and summed up by worker number.
    std::unordered_map<StepKey, RequestedCapacity> requestedCapacity_;
    std::vector<Resources> requestedOnWorkers_;
    /// Mean share of the requested workers that were approved, by queue.
    std::unordered_map<QueueId, double> approvalRates_;
    /// Mean duration of succeeded tasks, in milliseconds, by queue.
    std::unordered_map<QueueId, double> meanDurations_;
    Headroom headroom_;
    PassState pass_;
    PassTotals passTotals_;
    /// Since the last log line.
    Milliseconds longestEventDelay_;
    /// Workers on which capacity was reserved for gangs, in this pass and in the one before.
    std::unordered_set<WorkerNumber> gangWorkers_;
    std::unordered_set<WorkerNumber> previousGangWorkers_;
    Pacing pacing_;
    Limit startLimit_;
    Wait wait_;
    Rate submissionRate_;
    AccountLedger accounts_;
    TimePoint nextMaintenance_;
    TimePoint nextLoadLog_;
    TimePoint nextWaitingLog_;
    WorkerFleet fleet_;
    ProgressRecorder recorder_;
    ApprovalDispatcher approvalDispatcher_;
};

} // namespace caraway::cell
