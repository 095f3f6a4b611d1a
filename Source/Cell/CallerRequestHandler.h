#pragma once

#include "Cell/CallerAuthentication.h"

#include <deque>

namespace caraway::cell {

/// Rises each time changes of job states may have been missed. States that were received in one
/// contact with the holder are current while it lasts.
using HolderContact = NumberId<struct HolderContactTag>;

/// Handles callers' requests on any instance: stores accepted jobs and cancellations, and answers
/// with job states and counts. Jobs are accepted and cancelled by commits to the store alone, so
/// that both work without a holder.
class CallerRequestHandler
{
public:
    struct Handlers
    {
        /// Called after the job's record is stored, unless it existed already.
        std::function<void(const AcceptedJob &)> accepted;
        /// Called after the cancellation is stored.
        std::function<void(const JobId &)> cancelled;
        /// Generation of the last known holder.
        std::function<std::uint64_t()> generation;
        /// Whether the job states and pending-job counts known here are current.
        std::function<bool()> isHolderContactCurrent;
        /// Whether the states received in the present contact count; those of a holder count only
        /// while it is confirmed.
        std::function<bool()> areStatesCurrent;
        /// The state of an unfinished job, if this instance is the holder and schedules the job.
        std::function<std::optional<JobState>(const JobId &)> stateAtHolder;
        /// Asks the holder to handle a request for a job's state; onHolderAnswered() follows.
        /// Returns false if this instance is the holder or has no contact with it.
        std::function<bool(const CallerRequest &)> askHolder;
        /// The present contact with the holder, or the last one.
        std::function<HolderContact()> holderContact;
    };

    CallerRequestHandler(CellContext &context, const ConfigurationCache &configuration,
                         Handlers handlers);

    void handle(const CallerRequest &request);
    /// Whether requests can be judged by the configuration that is known here.
    bool isConfigurationCurrent() const { return authentication_.isConfigurationCurrent(); }
    using RelayHandler = std::function<void(CallerAnswer)>;
    /// Handles a request that another instance relayed; \a relay receives the answer.
    void handleRelayed(CallerRequest request, RelayHandler relay);
    /// Ends a request that was passed to askHolder(); without \a answer when the holder has not
    /// answered in time.
    void onHolderAnswered(CallerRequestId caller, const std::optional<CallerAnswer> &answer);
    /// Records a job's state as reported by the holder.
    void recordState(const JobId &job, JobState state);
    /// Replaces the loads of the queues.
    void updateQueueLoads(const std::vector<QueueLoad> &loads);
    void tick();
    std::size_t openRequests() const
    {
        return submissions_.size() + storeLookups_ + holderQueries_.size();
    }

private:
    /// Above all request ids that a listener assigns.
    static constexpr std::uint64_t firstRelayedId = std::uint64_t(1) << 62;

    struct KnownJob
    {
        JobState state = JobState::Pending;
        TimePoint updatedAt;
        /// In which the state was received; 0 if it may be outdated.
        HolderContact contact;
    };
    struct Submission
    {
        AcceptedJob job;
        std::vector<CallerRequestId> callers;
        TimePoint deadline;
        /// A commit was unanswered, so the job may be stored.
        bool mayBeStored = false;
        int attempts = 0;
        /// A commit with this job is in flight.
        bool inFlight = false;
        /// To be committed alone, after a commit together with other jobs failed.
        bool commitAlone = false;
        /// Earliest time of the next commit.
        TimePoint retryAt;
    };
    /// A request for the state of a job that the holder was asked for.
    struct HolderQuery
    {
        JobId job;
        HolderContact askedIn;
    };
    struct Cancellation
    {
        CallerRequestId caller;
        JobId job;
        TimePoint deadline;
        Revision revision;
        /// The account of the caller; empty for one that needs none.
        AccountId account = {};
    };

    void refuse(const CallerRequest &request, CallerOutcome outcome, const Queue &queue,
                std::string_view reason);
    void submit(const CallerRequest &request, const SubmitJob &submit, const Queue &queue,
                const AccountId &account);
    /// Why a job is not accepted, and after how long it may be.
    struct Refusal
    {
        std::string_view reason;
        Milliseconds wait;
    };

    /// Nothing when the job may be accepted.
    std::optional<Refusal> refusalOf(const JobSpec &spec, const Queue &queue,
                                     const AccountId &account) const;
    /// Whether a gang of the job can't run under the account's cap.
    bool exceedsCap(const JobSpec &spec, const AccountId &account) const;
    /// How much longer the job would wait than its objective allows; nothing when it may be
    /// accepted.
    std::optional<Milliseconds> excessWait(const JobSpec &spec, const Queue &queue) const;
    /// Refuses the job. A job that is stored already is accepted: the caller may send
    /// it again.
    void refuseUnlessStored(CallerRequestId caller, const JobId &job, const Refusal &refusal);
    void refuseUnlessFinished(CallerRequestId caller, const JobId &job, const Refusal &refusal);
    void flush();
    void commit(const std::vector<JobId> &jobs);
    void onCommitted(const std::vector<JobId> &jobs, HolderContact sentIn, const StoreReply &reply);
    void onConflict(const std::vector<JobId> &jobs, const StoreReply &reply);
    void retryLater(const std::vector<JobId> &jobs, bool mayBeStored);
    /// The job was stored during \a contact if it is new.
    void finishAccepted(const JobId &job, bool isNew, HolderContact contact);
    void abandon(const JobId &job);

    void read(const CallerRequest &request, const JobId &job);
    void readJobRecord(const CallerRequest &request, const JobId &job);
    /// The job has a record, so it has not ended.
    void onJobRecordRead(const CallerRequest &request, const JobId &job);
    /// Records the holder's answer that a job had \a state during \a contact.
    void confirmState(const JobId &job, JobState state, HolderContact contact);
    /// The job's state if no change of it can have been missed.
    std::optional<JobState> currentState(const JobId &job) const;
    JobState lastKnownState(const JobId &job) const;
    void readResult(CallerRequestId caller, const JobId &job);
    void cancel(const CallerRequest &request, const JobId &job, const Queue &queue,
                const AccountId &account);
    /// The job's record was read; whoever may cancel it has a key of its account.
    void onCancelledJobRead(const Cancellation &cancellation, const StoreItem &item);
    void cancelStored(const Cancellation &cancellation);
    void commitCancel(const Cancellation &cancellation);
    void answerFinished(const Cancellation &cancellation);
    void retryCancel(const Cancellation &cancellation);
    void answerPendingCount(const CallerRequest &request, const Queue &queue);
    void sendAnswer(CallerAnswer answer);
    void answer(CallerRequestId caller, CallerOutcome outcome);
    void answerState(CallerRequestId caller, JobState state);
    const KnownJob *findKnownJob(const JobId &job) const;
    /// Whether no change of the state can have been missed since it was received.
    bool isCurrent(const KnownJob &job) const;

    CellContext &context_;
    const ConfigurationCache &configuration_;
    CallerAuthentication authentication_;
    Handlers handlers_;
    std::unordered_map<JobId, KnownJob> known_;
    /// As last reported by the holder.
    std::map<QueueId, QueueLoad> queueLoads_;
    std::map<JobId, Submission> submissions_;
    std::map<CallerRequestId, HolderQuery> holderQueries_;
    std::deque<Cancellation> cancelRetries_;
    std::size_t commitsInFlight_ = 0;
    /// Store calls for reads and cancellations, in flight or due for a retry.
    std::size_t storeLookups_ = 0;
    /// Handlers for the answers to relayed requests, by an id that this instance assigned.
    std::map<CallerRequestId, RelayHandler> relayHandlers_;
    CallerRequestId lastRelayedId_ {firstRelayedId};
    TimePoint nextPrune_;
};

/// Checks a job independently of its queue. Returns the error message, or an empty string if the
/// job is valid.
std::string validateJobSpec(const JobSpec &spec);

} // namespace caraway::cell
