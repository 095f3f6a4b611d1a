#include "Cell/ProgressRecorder.h"

#include <algorithm>
#include <vector>

namespace caraway::cell {

namespace {

/// Expired results are deleted along with other commits, or in a commit of their own when there are
/// at least this many or after a while.
constexpr std::size_t minExpired = 20;
constexpr Milliseconds maxExpiredDelay {10'000};
/// Tasks often complete at nearly the same time; the interval lets one commit record them all.
constexpr Milliseconds commitInterval {30};
constexpr Milliseconds invalidRetryInterval {1000};
/// Entries of a commit that results leave to the progress of other jobs: workers keep the
/// completions until they are recorded.
constexpr std::size_t progressEntries = 8;

} // namespace

ProgressRecorder::ProgressRecorder(CellContext &context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

RecordKey ProgressRecorder::sequenceKey(std::size_t sequence)
{
    if (sequence == 0)
        return {RecordType::CommitSequence, {}};
    return {RecordType::FurtherSequences, std::to_string(sequence)};
}

void ProgressRecorder::startTerm(StorePrecondition holder, const SequenceRevisions &revisions)
{
    endTerm();
    active_ = true;
    holderPrecondition_ = std::move(holder);
    for (std::size_t i = 0; i < sequences; ++i)
        sequences_[i].revision = revisions[i];
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
    committing_.clear();
    changedInFlight_ = 0;
    for (std::size_t i = 0; i < sequences; ++i) {
        sequences_[i] = {};
        sequences_[i].key = sequenceKey(i);
    }
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
    if (isNew) {
        jobOrder_.push_back(job);
        changedInFlight_ += committing_.contains(job) ? 1 : 0;
    }
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

bool ProgressRecorder::isFirstDue() const
{
    const bool areExpiredDue = expired_.size() >= minExpired
            || (!expired_.empty() && context_.now() - expiredSince_ >= maxExpiredDelay);
    const bool hasWork = hasChanges() || isIsolatedDue() || areExpiredDue;
    return hasWork && (context_.now() >= nextCommit_ || isFull());
}

/// Begins at most one commit, as the next call follows soon.
void ProgressRecorder::tick()
{
    if (!active_)
        return;
    for (std::size_t i = 0; i < sequences; ++i) {
        const Sequence &sequence = sequences_[i];
        if (sequence.batch && !sequence.isInFlight && context_.now() >= sequence.nextAttempt)
            send(i);
    }
    if (!sequences_.front().batch) {
        if (isFirstDue()) {
            fillFirst(begin(sequences_.front()));
            send(0);
        }
        return;
    }
    const auto idle = std::find_if(sequences_.begin(), sequences_.end(),
                                   [](const Sequence &sequence) { return !sequence.batch; });
    if (idle == sequences_.end() || !isFull())
        return;
    addChangedJobs(begin(*idle));
    send(static_cast<std::size_t>(idle - sequences_.begin()));
}

ProgressRecorder::Batch &ProgressRecorder::begin(Sequence &sequence)
{
    sequence.batch = Batch {};
    Batch &batch = *sequence.batch;
    batch.number = ++lastNumber_;
    StoreCommit &commit = batch.commit;
    commit.preconditions.push_back(holderPrecondition_);
    commit.require(sequence.key, sequence.revision);
    commit.write(sequence.key, CommitSequenceRecord {context_.self(), batch.number});
    return batch;
}

void ProgressRecorder::fillFirst(Batch &batch)
{
    StoreCommit &commit = batch.commit;
    batch.isIsolated = isIsolatedDue() && (!wasIsolated_ || !hasChanges())
            && !committing_.contains(isolated_.front().id);
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
    addChangedJobs(batch);
    while (!expired_.empty() && commit.entries() < maxEntries) {
        commit.deletes.push_back({RecordType::Results, expired_.front().value()});
        expired_.pop_front();
    }
}

void ProgressRecorder::addChangedJobs(Batch &batch)
{
    addJobs(batch, finishedOrder_, maxEntries - progressEntries);
    addJobs(batch, jobOrder_, maxEntries);
    addJobs(batch, finishedOrder_, maxEntries);
}

void ProgressRecorder::addJobs(Batch &batch, std::deque<JobId> &order, std::size_t limit)
{
    std::vector<JobId> later;
    while (!order.empty() && batch.commit.entries() + entriesPerJob <= limit) {
        JobId id = std::move(order.front());
        order.pop_front();
        if (committing_.contains(id)) {
            later.push_back(std::move(id));
            continue;
        }
        auto changed = changed_.extract(id);
        if (changed)
            addJob(batch, {std::move(changed.key()), std::move(changed.mapped())});
    }
    order.insert(order.begin(), later.begin(), later.end());
}

void ProgressRecorder::addJob(Batch &batch, ChangedJob job)
{
    StoreCommit &commit = batch.commit;
    const JobId id = job.id;
    const std::string &name = id.value();
    committing_.insert(id);
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

void ProgressRecorder::send(std::size_t sequence)
{
    sequences_[sequence].isInFlight = true;
    nextCommit_ = context_.now() + commitInterval;
    context_.callStore(sequences_[sequence].batch->commit,
                       [this, sequence, term = term_](const StoreReply &reply) {
                           if (term == term_)
                               onReply(sequences_[sequence], reply);
                       });
}

void ProgressRecorder::onReply(Sequence &sequence, const StoreReply &reply)
{
    sequence.isInFlight = false;
    switch (reply.outcome) {
    case StoreOutcome::Done:
        onCommitted(sequence, reply.revision);
        return;
    case StoreOutcome::Conflict:
        onConflict(sequence, reply);
        return;
    case StoreOutcome::Invalid:
        isolateJobs(sequence);
        return;
    default:
        // The same commit is retried; the precondition on the sequence lets it take effect only
        // once.
        sequence.nextAttempt = context_.now() + context_.storeHealth().retryDelay();
        context_.log("event=commit_retried number={} outcome={}", sequence.batch->number,
                     static_cast<int>(reply.outcome));
    }
}

void ProgressRecorder::release(const Batch &batch)
{
    for (const ChangedJob &job : batch.jobs) {
        committing_.erase(job.id);
        changedInFlight_ -= changed_.contains(job.id) ? 1 : 0;
    }
}

/// A commit of one job that is refused as invalid is tried again, as the job changes later.
void ProgressRecorder::isolateJobs(Sequence &sequence)
{
    Batch batch = std::move(*sequence.batch);
    sequence.batch.reset();
    context_.log("event=commit_invalid number={} jobs={} first_job={} entries={}", batch.number,
                 batch.jobs.size(),
                 batch.jobs.empty() ? std::string() : batch.jobs.front().id.value(),
                 batch.commit.entries());
    if (batch.jobs.empty())
        nextCommit_ = context_.now() + invalidRetryInterval;
    if (batch.isIsolated && ++invalidInRow_ > isolated_.size())
        nextIsolated_ = context_.now() + invalidRetryInterval;
    release(batch);
    for (ChangedJob &job : batch.jobs)
        isolated_.push_back(std::move(job));
    if (batch.roster && !roster_)
        roster_ = std::move(batch.roster);
}

void ProgressRecorder::onConflict(Sequence &sequence, const StoreReply &reply)
{
    Revision stored = sequence.revision;
    for (const StoreItem &item : reply.items) {
        if (item.key.type == RecordType::Holder && item.revision != holderPrecondition_.revision) {
            handlers_.superseded();
            return;
        }
        const auto *record = std::get_if<CommitSequenceRecord>(&item.value);
        if (record && record->process == context_.self()
            && record->number == sequence.batch->number) {
            onCommitted(sequence, item.revision);
            return;
        }
        if (item.key == sequence.key)
            stored = item.revision;
    }
    // The holder record is unchanged, so only a commit of this term can have advanced the sequence.
    context_.log("event=commit_conflict number={} sequence={} stored_sequence={}",
                 sequence.batch->number, sequence.revision.value(), stored.value());
    sequence.revision = stored;
    for (StorePrecondition &precondition : sequence.batch->commit.preconditions) {
        if (precondition.key == sequence.key)
            precondition.revision = stored;
    }
    sequence.nextAttempt = context_.now() + context_.storeHealth().retryDelay();
}

void ProgressRecorder::onCommitted(Sequence &sequence, Revision revision)
{
    sequence.revision = revision;
    const Batch batch = std::move(*sequence.batch);
    sequence.batch.reset();
    release(batch);
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
