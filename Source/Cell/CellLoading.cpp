// The terms of CellInstance as the holder, and what it reads from the store at their start.

#include "Cell/CellInstance.h"

#include <algorithm>
#include <charconv>

namespace caraway::cell {

void CellInstance::startTerm()
{
    ++termChanges_;
    loading_ = Loading {};
    jobsAndCancelsWatcher_.start();
    workerWatcher_.start();
    loadProgress(termChanges_, std::nullopt);
    loadStartLog(termChanges_, std::nullopt);
    for (std::size_t i = 0; i < ProgressRecorder::sequences; ++i)
        loadSequence(termChanges_, i);
    loadRoster(termChanges_);
}

void CellInstance::endTerm()
{
    ++termChanges_;
    loading_.reset();
    jobsAndCancelsWatcher_.stop();
    workerWatcher_.stop();
    scheduler_.endTerm();
    holderContacted_ = false;
    changedStates_.clear();
}

void CellInstance::retryLater(std::function<void()> part)
{
    loading_->retries.push_back(std::move(part));
}

void CellInstance::loadProgress(std::uint64_t term, const std::optional<RecordKey> &after)
{
    context_.callStore(StoreList {RecordType::Progress, after},
                       [this, term, after](const StoreReply &reply) {
                           if (term != termChanges_ || !loading_)
                               return;
                           if (reply.outcome != StoreOutcome::Done) {
                               retryLater([this, term, after] { loadProgress(term, after); });
                               return;
                           }
                           for (const StoreItem &item : reply.items) {
                               if (const auto *progress = std::get_if<JobProgress>(&item.value))
                                   loading_->progress[item.key.name] = *progress;
                           }
                           if (reply.hasMore && !reply.items.empty()) {
                               loadProgress(term, reply.items.back().key);
                               return;
                           }
                           loading_->progressRead = true;
                           checkLoaded();
                       });
}

void CellInstance::loadStartLog(std::uint64_t term, const std::optional<RecordKey> &after)
{
    context_.callStore(StoreList {RecordType::StartLog, after},
                       [this, term, after](const StoreReply &reply) {
                           if (term != termChanges_ || !loading_)
                               return;
                           if (reply.outcome != StoreOutcome::Done) {
                               retryLater([this, term, after] { loadStartLog(term, after); });
                               return;
                           }
                           for (const StoreItem &item : reply.items)
                               addStartLogSegment(item);
                           if (reply.hasMore && !reply.items.empty()) {
                               loadStartLog(term, reply.items.back().key);
                               return;
                           }
                           loading_->startLogRead = true;
                           checkLoaded();
                       });
}

void CellInstance::addStartLogSegment(const StoreItem &item)
{
    const std::string &name = item.key.name;
    std::uint64_t position = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), position);
    const auto *segment = std::get_if<StartLogSegment>(&item.value);
    if (!segment || error != std::errc() || end != name.data() + name.size()) {
        context_.log("event=record_malformed name=start-log/{} revision={}", name,
                     item.revision.value());
        return;
    }
    loading_->startLog.insert_or_assign(position, *segment);
}

void CellInstance::loadSequence(std::uint64_t term, std::size_t sequence)
{
    context_.callStore(StoreGet {ProgressRecorder::sequenceKey(sequence)},
                       [this, term, sequence](const StoreReply &reply) {
                           if (term != termChanges_ || !loading_)
                               return;
                           if (reply.outcome == StoreOutcome::Done)
                               loading_->sequences[sequence] = reply.items.front().revision;
                           else if (reply.outcome == StoreOutcome::NotFound)
                               loading_->sequences[sequence] = Revision();
                           else
                               retryLater([this, term, sequence] { loadSequence(term, sequence); });
                           checkLoaded();
                       });
}

bool CellInstance::areSequencesRead() const
{
    return std::all_of(loading_->sequences.begin(), loading_->sequences.end(),
                       [](const auto &revision) { return revision.has_value(); });
}

void CellInstance::loadRoster(std::uint64_t term)
{
    context_.callStore(StoreGet {{RecordType::Roster, {}}}, [this, term](const StoreReply &reply) {
        if (term != termChanges_ || !loading_)
            return;
        const bool hasRoster = !reply.items.empty()
                && std::holds_alternative<RosterRecord>(reply.items.front().value);
        if (reply.outcome == StoreOutcome::Done && hasRoster)
            loadClosedWorkers(term, reply.items.front());
        else if (reply.outcome == StoreOutcome::NotFound)
            loading_->roster.emplace();
        else
            retryLater([this, term] { loadRoster(term); });
        checkLoaded();
    });
}

void CellInstance::loadClosedWorkers(std::uint64_t term, const StoreItem &rosterItem)
{
    context_.callStore(
            StoreGet {{RecordType::ClosedWorkers, {}}},
            [this, term, rosterItem](const StoreReply &reply) {
                if (term != termChanges_ || !loading_)
                    return;
                if (reply.outcome != StoreOutcome::Done
                    && reply.outcome != StoreOutcome::NotFound) {
                    retryLater([this, term, rosterItem] { loadClosedWorkers(term, rosterItem); });
                    return;
                }
                const auto &workers = std::get<RosterRecord>(rosterItem.value).workers;
                Roster &roster = loading_->roster.emplace();
                roster.workers = {workers.begin(), workers.end()};
                // An earlier release writes the roster alone, which leaves this record outdated.
                const bool isCurrent = !reply.items.empty()
                        && reply.items.front().revision == rosterItem.revision;
                if (isCurrent) {
                    const auto *closed
                            = std::get_if<ClosedWorkersRecord>(&reply.items.front().value);
                    if (closed)
                        roster.closed = closed->workers;
                    else
                        context_.log("event=record_malformed name=closed-workers revision={}",
                                     rosterItem.revision.value());
                }
                checkLoaded();
            });
}

void CellInstance::checkLoaded()
{
    if (!loading_ || !loading_->progressRead || !loading_->startLogRead || !areSequencesRead()
        || !loading_->roster || !jobsAndCancelsWatcher_.isListed() || !workerWatcher_.isListed()) {
        return;
    }
    const Loading loaded = std::move(*loading_);
    loading_.reset();
    context_.log("event=holder_state_loaded generation={} jobs={} progress={} workers={} roster={} "
                 "closed={}",
                 election_.generation(), loaded.jobs.size(), loaded.progress.size(),
                 loaded.workers.size(), loaded.roster->workers.size(),
                 loaded.roster->closed.size());
    ProgressRecorder::SequenceRevisions sequences;
    for (std::size_t i = 0; i < sequences.size(); ++i)
        sequences[i] = *loaded.sequences[i];
    scheduler_.startTerm({election_.token(), election_.generation(), election_.holderPrecondition(),
                          sequences, *loaded.roster, election_.earlierRenewalsEnd(),
                          loaded.startLog});
    for (const auto &[id, entry] : loaded.workers)
        scheduler_.setWorker(entry);
    for (const JobId &job : loaded.cancels)
        scheduler_.cancelJob(job);
    for (const AcceptedJob &job : loaded.jobs) {
        const auto progress = loaded.progress.find(job.spec.id.value());
        scheduler_.addJob(job,
                          progress == loaded.progress.end() ? JobProgress() : progress->second);
    }
    nextLoadBroadcast_ = context_.now();
    holderContact_ = holderContact_.next();
    election_.onLoaded();
    loadResults(termChanges_, std::nullopt);
}

void CellInstance::loadResults(std::uint64_t term, const std::optional<RecordKey> &after)
{
    context_.callStore(StoreList {RecordType::Results, after},
                       [this, term](const StoreReply &reply) {
                           // The next holder removes the results that this one could not read.
                           if (term != termChanges_ || reply.outcome != StoreOutcome::Done)
                               return;
                           for (const StoreItem &item : reply.items) {
                               if (std::holds_alternative<JobResult>(item.value))
                                   scheduler_.addStoredResult(JobId(item.key.name));
                           }
                           if (reply.hasMore && !reply.items.empty())
                               loadResults(term, reply.items.back().key);
                       });
}

} // namespace caraway::cell
