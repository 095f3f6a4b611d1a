#include "Decisions/ShardLease.h"

#include <algorithm>

namespace caraway {

namespace {

/// Keeps candidates from claiming at the same moment.
constexpr Milliseconds claimStagger(300);
/// Between readings of the record beside the regular ones.
constexpr Milliseconds extraReadInterval(100);

} // namespace

const BoundChart<ShardLease> &ShardLease::chart()
{
    static const BoundChart<ShardLease> bound = BoundChart<ShardLease> {
            "ShardLease.scxml",
            {"following", "claiming", "holding", "recovering", "serving", "suspended", "releasing"},
            {"claimDue", "written", "superseded", "claimAbandoned", "recovered", "leaseRanOut",
             "stopRequested"},
            {{"mayClaim", &ShardLease::mayClaim},
             {"wasRecovered", &ShardLease::wasRecovered},
             {"isStopping", &ShardLease::isStopping}},
            {{"sendClaim", &ShardLease::sendClaim},
             {"sendRelease", &ShardLease::sendRelease},
             {"announce", &ShardLease::announce},
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
    readSentAt_ = std::max(readSentAt_, sentAt);
    noteUnchangedRecord(sentAt, record);
    if (record)
        takeRecord(*record);
}

void ShardLease::onRecordNotice(TimePoint now, const ShardRecord &record)
{
    now_ = now;
    if (record.revision <= record_.revision)
        return;
    noteUnchangedRecord(now, record);
    takeRecord(record);
}

void ShardLease::takeRecord(const ShardRecord &record)
{
    if (isOurs(record)) {
        // The store shows a write of ours whose answer may have been lost.
        leaseCountedFrom_ = std::max(leaseCountedFrom_, pendingSentAt_);
        record_ = record;
        pending_.reset();
        changeState(Event::Written);
        return;
    }
    if (record.revision < record_.revision)
        return;
    const bool changed = record.revision != record_.revision;
    record_ = record;
    if (record_.holder != settings_.self) {
        pending_.reset();
        changeState(Event::Superseded);
        return;
    }
    // An older write of ours took effect unanswered: the newest one met a conflict.
    if (changed && isHeld())
        renew();
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
    // A conflict or a lost answer is settled by reading the record.
    wantRead();
    if (written.outcome == StoreOutcome::Conflict && !isHeld()) {
        pending_.reset();
        recordSeen_ = false;
        changeState(Event::ClaimAbandoned);
    }
}

void ShardLease::onStopRequested(TimePoint now)
{
    now_ = now;
    stopping_ = true;
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
    claimIfDue();
    if (machine_.isIn(State::Claiming) && now - pendingSentAt_ >= settings_.shardLease)
        changeState(Event::ClaimAbandoned);
}

void ShardLease::claimIfDue()
{
    if (!recordSeen_)
        return;
    if (record_.revision == Revision()) {
        changeState(Event::ClaimDue);
        return;
    }
    const Milliseconds wait = record_.released ? claimDelay() : settings_.shardLease + claimDelay();
    const TimePoint lapsesAt = unchangedSince_ + wait;
    if (now_ < lapsesAt)
        return;
    if (record_.released || readSentAt_ >= lapsesAt)
        changeState(Event::ClaimDue);
    else
        wantRead();
}

void ShardLease::wantRead()
{
    if (now_ - readWantedAt_ < extraReadInterval)
        return;
    readWantedAt_ = now_;
    readWanted_ = true;
}

void ShardLease::drainActions(Actions &actions)
{
    std::ranges::move(actions_, std::back_inserter(actions));
    actions_.clear();
}

bool ShardLease::mayClaim() const
{
    const std::vector<InstanceId> allowed = candidates();
    return !stopping_ && std::ranges::find(allowed, settings_.self) != allowed.end();
}

std::vector<InstanceId> ShardLease::candidates() const
{
    const bool anyListed = std::ranges::any_of(record_.candidates, [this](const InstanceId &id) {
        return membership_.findEntry(id) != nullptr;
    });
    return anyListed ? record_.candidates : membership_.candidates(shard_);
}

void ShardLease::beginRecovery()
{
    recoveryBegun_ = true;
    recovered_ = false;
}

void ShardLease::announce()
{
    for (const EntryMember &entry : membership_.list().entries) {
        if (entry.id != settings_.self)
            actions_.push_back(SendToPeer {entry.id, ShardRecordNotice {record_}});
    }
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
    if (std::vector<InstanceId> listed = membership_.candidates(shard_); !listed.empty())
        next.candidates = std::move(listed);
    pending_ = next;
    pendingSentAt_ = now_;
    actions_.push_back(CallStore {WriteShardRecord {std::move(next)}});
}

void ShardLease::renewIfDue()
{
    if (now_ - pendingSentAt_ < settings_.shardRenewal)
        return;
    renew();
}

void ShardLease::renew()
{
    if (machine_.isIn(State::Releasing))
        sendRelease();
    else
        write(record_);
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
    std::vector<InstanceId> others = candidates();
    std::erase(others, record_.holder);
    const auto place = std::ranges::find(others, settings_.self) - others.begin();
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
