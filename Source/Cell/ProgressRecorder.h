#pragma once

#include "Cell/CellContext.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace caraway::cell {

/// Writes the holder's progress to the store, one commit at a time. Commits are numbered, so that
/// the outcome of an unanswered commit can be resolved: the commit is found to be applied, or it
/// can no longer take effect.
class ProgressRecorder
{
public:
    /// A completion that its worker may discard once the progress of the job is recorded.
    struct RecordedCompletion
    {
        WorkerId worker;
        WorkerIncarnation incarnation;
        CompletionNumber number;
        TimePoint listedAt;
    };
    /// The record to write for a job; a result replaces all other records of the job.
    struct Snapshot
    {
        std::variant<JobProgress, JobResult> value;
        bool hasCancel = false;
        /// Whether the store may contain progress of the job.
        bool hasProgress = true;
    };
    struct Handlers
    {
        /// Returns the current state of a job, or nothing when its result is already recorded;
        /// called when a commit is assembled.
        std::function<std::optional<Snapshot>(const JobId &)> snapshot;
        /// Returns what is to be written to the start log, if anything; called when a commit is
        /// assembled.
        std::function<std::optional<StoreWrite>()> startLogWrite;
        /// Whether the start log should be written even if nothing else is.
        std::function<bool()> isStartLogDue;
        std::function<void(const RecordedCompletion &)> completionRecorded;
        std::function<void(const TaskKey &)> crashRecorded;
        std::function<void(const TaskKey &, RunNumber)> startRecorded;
        std::function<void(const JobId &, JobState)> resultRecorded;
        std::function<void(const Roster &)> rosterRecorded;
        /// Another holder has taken over the cell.
        std::function<void()> superseded;
    };

    /// How many commits may be in flight, each in a sequence of its own.
    static constexpr std::size_t sequences = 6;
    /// The revisions of the sequences' records.
    using SequenceRevisions = std::array<Revision, sequences>;
    static RecordKey sequenceKey(std::size_t sequence);

    ProgressRecorder(CellContext &context, Handlers handlers);

    /// Starts a term. Every commit requires the holder record to match \a holder and its sequence
    /// to be at the given revision or at that of the previous commit.
    void startTerm(StorePrecondition holder, const SequenceRevisions &revisions);
    void endTerm();
    /// Schedules a write of the job's state. \a completion is the completion that changed it, if
    /// any.
    void markChanged(const JobId &job, std::optional<RecordedCompletion> completion = std::nullopt);
    /// Schedules a write of the job's result, before the progress of other jobs: callers wait for
    /// it.
    void markFinished(const JobId &job);
    /// Schedules a write of the state of the task's job, which contains another crash of a worker
    /// under the task.
    void markCrash(const TaskKey &task);
    /// Schedules a write of the state of the task's job, which contains the start of \a run.
    void markStart(const TaskKey &task, RunNumber run);
    /// Schedules the deletion of the result of \a job.
    void markExpired(const JobId &job);
    void markRoster(Roster roster);
    /// Sends the next commit when one is due.
    void tick();

    /// Changed jobs that are not in a commit yet.
    std::size_t unrecordedJobs() const { return changed_.size(); }
    /// The longest time from the list that contained a completion until it was recorded, since the
    /// last call.
    Milliseconds takeLongestDelay() { return std::exchange(longestDelay_, Milliseconds()); }

private:
    /// Limit of the store for preconditions, writes and deletions in one commit.
    static constexpr std::size_t maxEntries = 32;
    /// A result writes one record and deletes up to three.
    static constexpr std::size_t entriesPerJob = 4;
    /// Jobs that fill a commit; with that many changed, the next commit follows at once.
    static constexpr std::size_t jobsPerCommit = (maxEntries - 2) / entriesPerJob;

    /// Whether there is something to commit besides the deletion of expired results.
    bool hasChanges() const
    {
        return !changed_.empty() || roster_.has_value() || handlers_.isStartLogDue();
    }
    bool isIsolatedDue() const { return !isolated_.empty() && context_.now() >= nextIsolated_; }

    /// What is reported once the state of a job is recorded.
    struct Changes
    {
        std::vector<RecordedCompletion> completions;
        std::vector<TaskKey> crashes;
        std::vector<std::pair<TaskKey, RunNumber>> starts;
    };
    struct ChangedJob
    {
        JobId id;
        Changes changes;
    };
    struct Batch
    {
        StoreCommit commit;
        std::vector<ChangedJob> jobs;
        bool isIsolated = false;
        std::vector<std::pair<JobId, JobState>> results;
        std::optional<Roster> roster;
        std::uint64_t number = 0;
    };

    /// Commits that follow each other; those of different sequences may overtake each other, and
    /// contain different jobs.
    struct Sequence
    {
        RecordKey key;
        Revision revision;
        /// The commit in flight or to be retried.
        std::optional<Batch> batch;
        bool isInFlight = false;
        TimePoint nextAttempt;
    };

    Changes &changesOf(const JobId &job);
    bool isFirstDue() const;
    /// Whether the changed jobs that are in no commit fill another one.
    bool isFull() const { return changed_.size() - changedInFlight_ >= jobsPerCommit; }
    Batch &begin(Sequence &sequence);
    /// Adds what only the first sequence contains, and changed jobs.
    void fillFirst(Batch &batch);
    /// Adds changed jobs, mostly those that have finished.
    void addChangedJobs(Batch &batch);
    /// Adds changed jobs in the order of \a order until the commit has \a limit entries.
    void addJobs(Batch &batch, std::deque<JobId> &order, std::size_t limit);
    void addJob(Batch &batch, ChangedJob job);
    /// The jobs of the batch may be added to another one.
    void release(const Batch &batch);
    void isolateJobs(Sequence &sequence);
    void send(std::size_t sequence);
    void onReply(Sequence &sequence, const StoreReply &reply);
    void onConflict(Sequence &sequence, const StoreReply &reply);
    void onCommitted(Sequence &sequence, Revision revision);

    CellContext &context_;
    Handlers handlers_;
    std::uint64_t term_ = 0;
    bool active_ = false;
    StorePrecondition holderPrecondition_;
    std::uint64_t lastNumber_ = 0;
    /// The keys of changed_ in the order of their first change, and jobs recorded since.
    std::deque<JobId> jobOrder_;
    /// Those that have finished, in that order.
    std::deque<JobId> finishedOrder_;
    std::map<JobId, Changes> changed_;
    /// The jobs of a commit that the store refused as invalid. Each is committed alone, so that the
    /// others do not wait for one that the store refuses.
    std::deque<ChangedJob> isolated_;
    TimePoint nextIsolated_;
    bool wasIsolated_ = false;
    /// Jobs committed alone that were refused since the last one that was not.
    std::size_t invalidInRow_ = 0;
    std::deque<JobId> expired_;
    /// When the first of expired_ was added.
    TimePoint expiredSince_;
    std::optional<Roster> roster_;
    /// All but the first one contain jobs only, and are used while there are enough of these.
    std::array<Sequence, sequences> sequences_;
    /// Jobs in the commits that are in flight or to be retried.
    std::set<JobId> committing_;
    /// Those of committing_ that have changed again.
    std::size_t changedInFlight_ = 0;
    Milliseconds longestDelay_;
    TimePoint nextCommit_;
};

} // namespace caraway::cell
