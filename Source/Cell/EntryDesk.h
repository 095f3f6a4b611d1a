#pragma once

#include "Cell/ConfigurationKeeper.h"

#include <deque>

namespace caraway::cell {

/// Answers callers on any instance: stores accepted jobs and cancels, and tells states. It
/// decides by the store alone, so that it works while there is no holder.
class EntryDesk
{
public:
    struct Handlers
    {
        std::function<void(const AcceptedJob &)> accepted;
        std::function<void(const JobId &)> cancelled;
        /// The generation of the holder last seen.
        std::function<std::uint64_t()> generation;
        /// Whether states and counts come in from the holder without a gap.
        std::function<bool()> isHolderHeard;
    };

    EntryDesk(CellContext &context, const ConfigurationKeeper &configuration, Handlers handlers);

    void handle(const CallerRequest &request);
    using Relay = std::function<void(CallerAnswer)>;
    /// Answers a caller of another instance.
    void handleRelayed(CallerRequest request, Relay relay);
    /// A job's state, as the holder has told it.
    void noteState(const JobId &job, JobState state);
    void noteLoads(const std::vector<QueueLoad> &loads);
    void tick();
    std::size_t requestsUnderWay() const { return submissions_.size() + lookups_; }

private:
    /// Above every number that a listener gives.
    static constexpr std::uint64_t firstRelay = std::uint64_t(1) << 62;

    struct Known
    {
        JobState state = JobState::Pending;
        TimePoint notedAt;
    };
    struct Submission
    {
        AcceptedJob job;
        std::vector<CallerRequestId> callers;
        TimePoint giveUpAt;
        /// An attempt was not answered, so the job may be in the store.
        bool maybeStored = false;
        int attempts = 0;
        bool underWay = false;
        /// Committed alone, after a commit together with others failed.
        bool alone = false;
        TimePoint nextTry;
    };
    struct Cancellation
    {
        CallerRequestId caller;
        JobId job;
        TimePoint giveUpAt;
        Revision revision;
    };

    void submit(const CallerRequest &request, const SubmitJob &submit, const Queue &queue);
    void flush();
    void commit(const std::vector<JobId> &jobs);
    void onCommitted(const std::vector<JobId> &jobs, const StoreReply &reply);
    void onConflict(const std::vector<JobId> &jobs, const StoreReply &reply);
    void retryLater(const std::vector<JobId> &jobs, bool maybeStored);
    void finishAccepted(const JobId &job, bool isNew);
    void giveUp(const JobId &job);

    void read(const CallerRequest &request, const JobId &job);
    void readStored(CallerRequestId caller, const JobId &job);
    void readResult(CallerRequestId caller, const JobId &job);
    void cancel(const CallerRequest &request, const JobId &job, const Queue &queue);
    void cancelStored(const Cancellation &cancellation);
    void commitCancel(const Cancellation &cancellation);
    void answerEnded(const Cancellation &cancellation);
    void retryCancel(const Cancellation &cancellation);
    void count(const CallerRequest &request, const Queue &queue);
    void give(CallerAnswer answer);
    void answer(CallerRequestId caller, CallerOutcome outcome);
    void answerState(CallerRequestId caller, JobState state);
    const Known *known(const JobId &job) const;

    CellContext &context_;
    const ConfigurationKeeper &configuration_;
    Handlers handlers_;
    std::unordered_map<JobId, Known> known_;
    std::map<QueueId, std::int64_t> pending_;
    std::map<JobId, Submission> submissions_;
    std::deque<Cancellation> cancelRetries_;
    std::size_t commitsUnderWay_ = 0;
    std::size_t lookups_ = 0;
    /// Answers to callers of other instances, by numbers of their own.
    std::map<CallerRequestId, Relay> relays_;
    CallerRequestId lastRelay_ {firstRelay};
    TimePoint nextForget_;
};

/// What is wrong with a job that no queue can take; empty when nothing is.
std::string findJobFault(const JobSpec &spec);

} // namespace caraway::cell
