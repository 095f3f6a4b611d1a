#include "Decisions/ShardLease.h"

#include <algorithm>

namespace caraway {

namespace {

/// Keeps candidates from claiming at the same moment.
constexpr Milliseconds claimStagger(300);

} // namespace

const BoundChart<ShardLease> &ShardLease::chart()
{
    static const BoundChart<ShardLease> bound = BoundChart<ShardLease> {
            "ShardLease.scxml",
            {"following", "claiming", "holding", "recovering", "serving", "suspended", "releasing"},
            {"claimDue", "written", "superseded", "claimAbandoned", "recovered", "leaseRanOut",
             "stopRequested"},
            {{"isCandidate", &ShardLease::isCandidate}},
            {{"sendClaim", &ShardLease::sendClaim},
             {"sendRelease", &ShardLease::sendRelease},
             {"beginRecovery",
              &ShardLease::beginRecovery}}}.loadedOrAbort();
    return bound;
}

ShardLease::ShardLease(ShardId shard, const DecisionSettings &settings,
                       const Membership &membership)
    : shard_(std::move(shard))
    , settings_(settings)
    , membership_(membership)
{
    record_.shard = shard_;
}

void ShardLease::onRecordRead(TimePoint now, TimePoint sentAt,
                              const std::optional<ShardRecord> &record)
{
    now_ = now;
    noteUnchangedRecord(sentAt, record);
    if (!record)
        return;
    if (isOurs(*record)) {
        // The store shows a write of ours whose answer may have been lost.
        leaseCountedFrom_ = std::max(leaseCountedFrom_, pendingSentAt_);
        record_ = *record;
        pending_.reset();
        changeState(Event::Written);
        return;
    }
    if (record->revision < record_.revision)
        return;
    record_ = *record;
    if (record_.holder != settings_.self) {
        pending_.reset();
        changeState(Event::Superseded);
    }
}

void ShardLease::onRecordWritten(TimePoint now, TimePoint sentAt, const ShardRecordWritten &written)
{
    now_ = now;
    if (!pending_ || written.record.epoch != pending_->epoch
        || written.record.renewal != pending_->renewal)
        return;
    if (written.outcome == StoreOutcome::Done) {
        record_ = written.record;
        pending_.reset();
        leaseCountedFrom_ = sentAt;
        changeState(Event::Written);
        return;
    }
    // A conflict or a lost answer is settled by the next reading of the record.
    if (written.outcome == StoreOutcome::Conflict && !isHeld()) {
        pending_.reset();
        changeState(Event::ClaimAbandoned);
    }
}

void ShardLease::onStopRequested(TimePoint now)
{
    now_ = now;
    changeState(Event::StopRequested);
}

void ShardLease::onTick(TimePoint now)
{
    now_ = now;
    if (isHeld()) {
        if (now >= startsEndAt())
            changeState(Event::LeaseRanOut);
        renewIfDue();
        return;
    }
    if (!recordSeen_)
        return;
    const bool lapsed = now - unchangedSince_ >= settings_.shardLease + claimDelay();
    if (record_.revision == Revision() || record_.released || lapsed)
        changeState(Event::ClaimDue);
    if (machine_.isIn(State::Claiming) && now - pendingSentAt_ >= settings_.shardLease)
        changeState(Event::ClaimAbandoned);
}

void ShardLease::drainActions(Actions &actions)
{
    std::ranges::move(actions_, std::back_inserter(actions));
    actions_.clear();
}

bool ShardLease::isCandidate() const
{
    const std::vector<InstanceId> candidates = membership_.candidates(shard_);
    return std::ranges::find(candidates, settings_.self) != candidates.end();
}

void ShardLease::sendClaim()
{
    ShardRecord claim = record_;
    claim.shard = shard_;
    claim.holder = settings_.self;
    claim.epoch = record_.epoch.next();
    claim.released = false;
    write(std::move(claim));
}

void ShardLease::sendRelease()
{
    ShardRecord release = record_;
    release.released = true;
    write(std::move(release));
}

void ShardLease::write(ShardRecord next)
{
    // Each write has its own number: an older one that took effect must not pass for this one.
    next.renewal = ++writesSent_;
    pending_ = next;
    pendingSentAt_ = now_;
    actions_.push_back(CallStore {WriteShardRecord {std::move(next)}});
}

void ShardLease::renewIfDue()
{
    if (now_ - pendingSentAt_ < settings_.shardRenewal)
        return;
    if (machine_.isIn(State::Releasing)) {
        sendRelease();
        return;
    }
    ShardRecord renewal = record_;
    write(std::move(renewal));
}

void ShardLease::noteUnchangedRecord(TimePoint sentAt, const std::optional<ShardRecord> &record)
{
    const Revision revision = record ? record->revision : Revision();
    if (recordSeen_ && revision == record_.revision)
        return;
    recordSeen_ = true;
    // Counted from now, not from when the read was sent: the holder's count began earlier.
    unchangedSince_ = std::max(now_, sentAt);
}

bool ShardLease::isOurs(const ShardRecord &record) const
{
    return pending_ && record.holder == settings_.self && record.epoch == pending_->epoch
            && record.renewal == pending_->renewal;
}

Milliseconds ShardLease::claimDelay() const
{
    const std::vector<InstanceId> candidates = membership_.candidates(shard_);
    const auto place = std::ranges::find(candidates, settings_.self) - candidates.begin();
    return claimStagger * place;
}

void ShardLease::changeState(Event event)
{
    const std::string before = machine_.stateName();
    machine_.handle(*this, event);
    if (machine_.stateName() != before) {
        actions_.push_back(
                RecordChange {"shard " + shard_.value(), before + " -> " + machine_.stateName()});
    }
}

} // namespace caraway
