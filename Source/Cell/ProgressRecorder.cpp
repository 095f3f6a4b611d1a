#include "Cell/ProgressRecorder.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Limit of the store for preconditions, writes and deletions in one commit.
constexpr std::size_t maxEntries = 32;
/// A result writes one record and deletes up to three.
constexpr std::size_t entriesPerJob = 4;
/// Expired results are deleted along with other commits, or in a commit of their own when there are
/// at least this many or after a while.
constexpr std::size_t minExpired = 20;
constexpr Milliseconds maxExpiredDelay {10'000};
/// Tasks often complete at nearly the same time; the interval lets one commit record them all.
constexpr Milliseconds commitInterval {30};
constexpr Milliseconds invalidRetryInterval {1000};
/// Jobs that fill a commit; with that many changed, the next commit follows at once.
constexpr std::size_t jobsPerCommit = (maxEntries - 2) / entriesPerJob;
/// Entries of a commit that results leave to the progress of other jobs: workers keep the
/// completions until they are recorded.
constexpr std::size_t progressEntries = 8;

} // namespace

ProgressRecorder::ProgressRecorder(CellContext &context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

void ProgressRecorder::startTerm(StorePrecondition holder, Revision sequence)
{
    endTerm();
    active_ = true;
    holderPrecondition_ = std::move(holder);
    sequence_ = sequence;
}

void ProgressRecorder::endTerm()
{
    ++term_;
    active_ = false;
    jobOrder_.clear();
    finishedOrder_.clear();
    changed_.clear();
    isolated_.clear();
    nextIsolated_ = {};
    invalidInRow_ = 0;
    expired_.clear();
    roster_.reset();
    batch_.reset();
    commitInFlight_ = false;
}

void ProgressRecorder::markChanged(const JobId &job, std::optional<RecordedCompletion> completion)
{
    if (!active_)
        return;
    Changes &changes = changesOf(job);
    if (completion)
        changes.completions.push_back(std::move(*completion));
}

void ProgressRecorder::markFinished(const JobId &job)
{
    if (!active_)
        return;
    changesOf(job);
    finishedOrder_.push_back(job);
}

void ProgressRecorder::markCrash(const TaskKey &task)
{
    if (active_)
        changesOf(task.job).crashes.push_back(task);
}

void ProgressRecorder::markStart(const TaskKey &task, RunNumber run)
{
    if (active_)
        changesOf(task.job).starts.emplace_back(task, run);
}

ProgressRecorder::Changes &ProgressRecorder::changesOf(const JobId &job)
{
    const auto isolated = std::find_if(isolated_.begin(), isolated_.end(),
                                       [&](const ChangedJob &row) { return row.id == job; });
    if (isolated != isolated_.end())
        return isolated->changes;
    const auto [position, isNew] = changed_.try_emplace(job);
    if (isNew)
        jobOrder_.push_back(job);
    return position->second;
}

void ProgressRecorder::markExpired(const JobId &job)
{
    if (!active_)
        return;
    if (expired_.empty())
        expiredSince_ = context_.now();
    expired_.push_back(job);
}

void ProgressRecorder::markRoster(Roster roster)
{
    if (active_)
        roster_ = std::move(roster);
}

void ProgressRecorder::tick()
{
    const bool isCommitDue
            = context_.now() >= nextCommit_ || (!batch_ && changed_.size() >= jobsPerCommit);
    if (!active_ || commitInFlight_ || !isCommitDue)
        return;
    if (!batch_) {
        const bool areExpiredDue = expired_.size() >= minExpired
                || (!expired_.empty() && context_.now() - expiredSince_ >= maxExpiredDelay);
        if (!hasChanges() && !isIsolatedDue() && !areExpiredDue)
            return;
        batch_ = Batch {};
        fill(*batch_);
    }
    send();
}

void ProgressRecorder::fill(Batch &batch)
{
    batch.number = ++lastNumber_;
    StoreCommit &commit = batch.commit;
    commit.preconditions.push_back(holderPrecondition_);
    commit.require({RecordType::CommitSequence, {}}, sequence_);
    commit.write({RecordType::CommitSequence, {}},
                 CommitSequenceRecord {context_.self(), batch.number});
    batch.isIsolated = isIsolatedDue() && (!wasIsolated_ || !hasChanges());
    wasIsolated_ = batch.isIsolated;
    if (batch.isIsolated) {
        addJob(batch, std::move(isolated_.front()));
        isolated_.pop_front();
        return;
    }
    if (roster_) {
        commit.write({RecordType::Roster, {}},
                     RosterRecord {{roster_->workers.begin(), roster_->workers.end()}});
        commit.write({RecordType::ClosedWorkers, {}}, ClosedWorkersRecord {roster_->closed});
        batch.roster = std::exchange(roster_, std::nullopt);
    }
    if (std::optional<StoreWrite> segment = handlers_.startLogWrite())
        commit.writes.push_back(std::move(*segment));
    addJobs(batch, finishedOrder_, maxEntries - progressEntries);
    addJobs(batch, jobOrder_, maxEntries);
    addJobs(batch, finishedOrder_, maxEntries);
    while (!expired_.empty() && commit.entries() < maxEntries) {
        commit.deletes.push_back({RecordType::Results, expired_.front().value()});
        expired_.pop_front();
    }
}

void ProgressRecorder::addJobs(Batch &batch, std::deque<JobId> &order, std::size_t limit)
{
    while (!order.empty() && batch.commit.entries() + entriesPerJob <= limit) {
        auto changed = changed_.extract(order.front());
        order.pop_front();
        if (changed)
            addJob(batch, {std::move(changed.key()), std::move(changed.mapped())});
    }
}

void ProgressRecorder::addJob(Batch &batch, ChangedJob job) const
{
    StoreCommit &commit = batch.commit;
    const JobId id = job.id;
    const std::string &name = id.value();
    batch.jobs.push_back(std::move(job));
    const std::optional<Snapshot> snapshot = handlers_.snapshot(id);
    if (!snapshot)
        return;
    if (const auto *progress = std::get_if<JobProgress>(&snapshot->value)) {
        commit.write({RecordType::Progress, name}, *progress);
        return;
    }
    const auto &result = std::get<JobResult>(snapshot->value);
    commit.write({RecordType::Results, name}, result);
    commit.deletes.push_back({RecordType::Jobs, name});
    if (snapshot->hasProgress)
        commit.deletes.push_back({RecordType::Progress, name});
    if (snapshot->hasCancel)
        commit.deletes.push_back({RecordType::Cancels, name});
    batch.results.emplace_back(id, result.state);
}

void ProgressRecorder::send()
{
    commitInFlight_ = true;
    nextCommit_ = context_.now() + commitInterval;
    context_.callStore(batch_->commit, [this, term = term_](const StoreReply &reply) {
        if (term == term_)
            onReply(reply);
    });
}

void ProgressRecorder::onReply(const StoreReply &reply)
{
    commitInFlight_ = false;
    switch (reply.outcome) {
    case StoreOutcome::Done:
        onCommitted(reply.revision);
        return;
    case StoreOutcome::Conflict:
        onConflict(reply);
        return;
    case StoreOutcome::Invalid:
        isolateJobs();
        return;
    default:
        // The same commit is retried; the precondition on the sequence lets it take effect only
        // once.
        nextCommit_ = context_.now() + context_.storeHealth().retryDelay();
        context_.log("event=commit_retried number={} outcome={}", batch_->number,
                     static_cast<int>(reply.outcome));
    }
}

/// A commit of one job that is refused as invalid is tried again, as the job changes later.
void ProgressRecorder::isolateJobs()
{
    Batch batch = std::move(*batch_);
    batch_.reset();
    context_.log("event=commit_invalid number={} jobs={} first_job={} entries={}", batch.number,
                 batch.jobs.size(),
                 batch.jobs.empty() ? std::string() : batch.jobs.front().id.value(),
                 batch.commit.entries());
    if (batch.jobs.empty())
        nextCommit_ = context_.now() + invalidRetryInterval;
    if (batch.isIsolated && ++invalidInRow_ > isolated_.size())
        nextIsolated_ = context_.now() + invalidRetryInterval;
    for (ChangedJob &job : batch.jobs)
        isolated_.push_back(std::move(job));
    if (batch.roster && !roster_)
        roster_ = std::move(batch.roster);
}

void ProgressRecorder::onConflict(const StoreReply &reply)
{
    Revision sequence = sequence_;
    for (const StoreItem &item : reply.items) {
        if (item.key.type == RecordType::Holder && item.revision != holderPrecondition_.revision) {
            handlers_.superseded();
            return;
        }
        const auto *record = std::get_if<CommitSequenceRecord>(&item.value);
        if (record && record->process == context_.self() && record->number == batch_->number) {
            onCommitted(item.revision);
            return;
        }
        if (item.key.type == RecordType::CommitSequence)
            sequence = item.revision;
    }
    // The holder record is unchanged, so only a commit of this term can have advanced the sequence.
    context_.log("event=commit_conflict number={} sequence={} stored_sequence={}", batch_->number,
                 sequence_.value(), sequence.value());
    sequence_ = sequence;
    for (StorePrecondition &precondition : batch_->commit.preconditions) {
        if (precondition.key.type == RecordType::CommitSequence)
            precondition.revision = sequence;
    }
    nextCommit_ = context_.now() + context_.storeHealth().retryDelay();
}

void ProgressRecorder::onCommitted(Revision revision)
{
    sequence_ = revision;
    const Batch batch = std::move(*batch_);
    batch_.reset();
    if (batch.isIsolated)
        invalidInRow_ = 0;
    for (const ChangedJob &job : batch.jobs) {
        for (const RecordedCompletion &completion : job.changes.completions) {
            longestDelay_ = std::max(longestDelay_, context_.now() - completion.listedAt);
            handlers_.completionRecorded(completion);
        }
        for (const TaskKey &task : job.changes.crashes)
            handlers_.crashRecorded(task);
        for (const auto &[task, run] : job.changes.starts)
            handlers_.startRecorded(task, run);
    }
    for (const auto &[job, state] : batch.results)
        handlers_.resultRecorded(job, state);
    if (batch.roster)
        handlers_.rosterRecorded(*batch.roster);
}

} // namespace caraway::cell
