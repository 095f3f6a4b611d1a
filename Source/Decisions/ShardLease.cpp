#include "Decisions/ShardLease.h"

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

/// Delay for each position in the candidate list, so that candidates don't claim at the same time.
constexpr Milliseconds claimStagger(300);
/// Minimum time between two reads requested in addition to the periodic ones.
constexpr Milliseconds extraReadInterval(100);
/// A claim that isn't sent within this time is dropped.
constexpr Milliseconds claimSendLimit(300);

} // namespace

const BoundChart<ShardLease> &ShardLease::chart()
{
    static const BoundChart<ShardLease> bound = BoundChart<ShardLease> {
            "ShardLease.scxml",
            {"following", "claiming", "holding", "recovering", "serving", "leased", "byPromise",
             "suspended", "settling", "releasing"},
            {"claimDue", "written", "superseded", "claimAbandoned", "recovered", "leaseExpired",
             "stopRequested", "extendedByPromises", "startsResolved"},
            {{"mayClaim", &ShardLease::mayClaim},
             {"wasRecovered", &ShardLease::wasRecovered},
             {"isStopping", &ShardLease::isStopping}},
            {{"sendClaim", &ShardLease::sendClaim},
             {"sendRelease", &ShardLease::sendRelease},
             {"announceRecord", &ShardLease::announceRecord},
             {"startRecovery",
              &ShardLease::startRecovery}}}.loadedOrAbort();
    return bound;
}

ShardLease::ShardLease(ShardId shard, const DecisionSettings &settings,
                       const Membership &membership)
    : shard_(std::move(shard))
    , settings_(settings)
    , membership_(membership)
    , promises_(settings.promise)
{
    record_.shard = shard_;
}

void ShardLease::onRecordRead(TimePoint now, TimePoint sentAt,
                              const std::optional<ShardRecord> &record)
{
    now_ = now;
    if (recordSeen_ && record && record->revision > record_.revision)
        recordWrittenAfter_ = readSentAt_;
    readSentAt_ = std::max(readSentAt_, sentAt);
    trackRecordChange(sentAt, record);
    if (record)
        applyRecord(*record);
}

void ShardLease::onRecordNotice(TimePoint now, const ShardRecord &record)
{
    now_ = now;
    if (record.revision <= record_.revision)
        return;
    trackRecordChange(now, record);
    applyRecord(record);
}

void ShardLease::applyRecord(const ShardRecord &record)
{
    if (isOwnWrite(record)) {
        // Own write, whose reply may have been lost.
        leaseCountedFrom_ = std::max(leaseCountedFrom_, pendingWriteSentAt_);
        record_ = record;
        confirmRecord();
        changeState(Event::Written);
        return;
    }
    if (record.revision < record_.revision)
        return;
    const bool changed = record.revision != record_.revision;
    record_ = record;
    if (record_.holder != settings_.self) {
        // While the record is unchanged, an unanswered claim may still be applied.
        if (changed)
            pendingWrite_.reset();
        changeState(Event::Superseded);
        return;
    }
    // An older own write was applied without an answer, so the most recent one has conflicted.
    mayBeSuperseded_ = false;
    if (changed && isHeld())
        renew();
}

void ShardLease::onRecordWritten(TimePoint now, TimePoint sentAt, const ShardRecordWritten &written)
{
    now_ = now;
    if (!pendingWrite_ || written.record.epoch != pendingWrite_->epoch
        || written.record.renewal != pendingWrite_->renewal)
        return;
    writeOutstanding_ = false;
    if (written.outcome == StoreOutcome::Done) {
        record_ = written.record;
        confirmRecord();
        leaseCountedFrom_ = sentAt;
        changeState(Event::Written);
        return;
    }
    // A conflict or an unanswered write is resolved by reading the record back.
    requestRead();
    mayBeSuperseded_ = mayBeSuperseded_ || written.outcome == StoreOutcome::Conflict;
    if (written.outcome == StoreOutcome::Conflict && !isHeld()) {
        pendingWrite_.reset();
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

void ShardLease::onStartsResolved(TimePoint now)
{
    now_ = now;
    changeState(Event::StartsResolved);
}

void ShardLease::onTick(TimePoint now)
{
    now_ = now;
    if (isHeld()) {
        if (now >= startsEndAt())
            changeState(Event::LeaseExpired);
        else if (now >= leaseEndsAt())
            changeState(Event::ExtendedByPromises);
        renewIfDue();
        requestPromisesIfDue();
        return;
    }
    claimIfDue();
    if (lifecycle_.isIn(State::Claiming) && now - pendingWriteSentAt_ >= settings_.shardLease)
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
    const TimePoint claimableAt = unchangedSince_ + wait;
    if (now_ < claimableAt || !isHolderUnableToExtend())
        return;
    if (record_.released || readSentAt_ >= claimableAt)
        changeState(Event::ClaimDue);
    else
        requestRead();
}

void ShardLease::requestRead()
{
    if (now_ - readRequestedAt_ < extraReadInterval)
        return;
    readRequestedAt_ = now_;
    readRequested_ = true;
}

void ShardLease::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

bool ShardLease::mayClaim() const
{
    const std::vector<InstanceId> allowed = candidates();
    return !stopping_ && std::ranges::find(allowed, settings_.self) != allowed.end();
}

std::vector<InstanceId> ShardLease::candidates() const
{
    const bool anyListed = std::ranges::any_of(record_.candidates, [this](const InstanceId &id) {
        return membership_.wasRecentlyListed(id, now_);
    });
    return anyListed ? record_.candidates : membership_.candidates(shard_);
}

void ShardLease::startRecovery()
{
    recoveryStarted_ = true;
    recovered_ = false;
}

void ShardLease::announceRecord()
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
    write(std::move(claim), now_ + claimSendLimit);
}

void ShardLease::sendRelease()
{
    ShardRecord release = record_;
    release.released = true;
    write(std::move(release));
}

void ShardLease::write(ShardRecord next, TimePoint notAfter)
{
    // Writes are numbered so that an older write that was applied isn't mistaken for this one.
    next.renewal = ++writesSent_;
    if (std::vector<InstanceId> listed = membership_.candidates(shard_); !listed.empty())
        next.candidates = std::move(listed);
    possibleClaimants_.insert(next.candidates.begin(), next.candidates.end());
    pendingWrite_ = next;
    pendingWriteSentAt_ = now_;
    writeOutstanding_ = true;
    actions_.push_back(CallStore {WriteShardRecord {std::move(next), notAfter}});
}

void ShardLease::confirmRecord()
{
    pendingWrite_.reset();
    mayBeSuperseded_ = false;
    // The store has confirmed this holder. Older promises are discarded, because a promiser that
    // restarts has lost its promise.
    promises_.reset();
    possibleClaimants_ = {record_.candidates.begin(), record_.candidates.end()};
}

void ShardLease::onPromiseRequest(TimePoint now, const InstanceId &from,
                                  const PromiseRequest &request)
{
    now_ = now;
    const Epoch newest = std::max(record_.epoch, request.epoch);
    const bool mayHaveClaimed = pendingWrite_ || isHeld();
    const bool granted = !mayHaveClaimed && newest == request.epoch;
    if (granted)
        promisedUntil_ = std::max(promisedUntil_, now + settings_.promise);
    actions_.push_back(SendToPeer {from, PromiseReply {shard_, newest, request.round, granted}});
}

void ShardLease::onPromiseReply(TimePoint now, const InstanceId &from, const PromiseReply &reply)
{
    now_ = now;
    if (!isHeld())
        return;
    if (reply.epoch > record_.epoch)
        changeState(Event::Superseded);
    else if (reply.granted)
        promises_.onGranted(from, reply.round);
    else
        promises_.onRefused(from);
}

TimePoint ShardLease::promisedLeaseEndsAt() const
{
    if (mayBeSuperseded_ || !recovered_ || !isHeld() || !membership_.listedSince(now_))
        return {};
    const TimePoint until = promises_.grantedUntil(now_, promisers());
    return until == TimePoint() ? until : until - settings_.leaseMargin;
}

std::vector<InstanceId> ShardLease::promisers() const
{
    std::vector<InstanceId> named;
    std::ranges::copy_if(possibleClaimants_, std::back_inserter(named), [this](const auto &id) {
        return id != settings_.self && membership_.wasRecentlyListed(id, now_);
    });
    return named;
}

void ShardLease::requestPromisesIfDue()
{
    // A renewal is overdue only when the next one should already have been answered.
    const bool isOverdue = now_ - leaseCountedFrom_ >= settings_.shardRenewal * 3 / 2;
    const bool isDue = now_ - promises_.lastRequestAt() >= settings_.promiseInterval;
    if (!isOverdue || !isDue || !recovered_ || lifecycle_.isIn(State::Releasing))
        return;
    const std::uint64_t round = promises_.startRequestRound(now_);
    for (const InstanceId &promiser : promisers()) {
        actions_.push_back(SendToPeer {promiser, PromiseRequest {shard_, record_.epoch, round}});
    }
}

bool ShardLease::isHolderUnableToExtend() const
{
    if (record_.released)
        return true;
    const std::optional<TimePoint> listedSince = membership_.listedSince(now_);
    if (now_ < promisedUntil_ || !listedSince)
        return false;
    const Milliseconds longest = settings_.listLag + settings_.listAge + settings_.promise;
    if (now_ - *listedSince >= longest)
        return true;
    // The holder wrote this instance into the record while the list named it without a gap.
    const bool isInRecord
            = std::ranges::find(record_.candidates, settings_.self) != record_.candidates.end();
    return isInRecord && recordWrittenAfter_ != TimePoint() && *listedSince <= recordWrittenAfter_;
}

void ShardLease::renewIfDue()
{
    const Milliseconds sinceWrite = now_ - pendingWriteSentAt_;
    const bool isLost = sinceWrite >= settings_.shardLease;
    // While settling, the lease isn't renewed, so its expiry bounds the wait for starts in flight.
    if (lifecycle_.isIn(State::Settling) || sinceWrite < settings_.shardRenewal
        || (writeOutstanding_ && !isLost))
        return;
    renew();
}

void ShardLease::renew()
{
    if (lifecycle_.isIn(State::Releasing))
        sendRelease();
    else
        write(record_);
}

void ShardLease::trackRecordChange(TimePoint sentAt, const std::optional<ShardRecord> &record)
{
    const Revision revision = record ? record->revision : Revision();
    if (recordSeen_ && revision == record_.revision)
        return;
    recordSeen_ = true;
    // Counted from now, not from when the read was sent: the holder's count started earlier.
    unchangedSince_ = std::max(now_, sentAt);
}

bool ShardLease::isOwnWrite(const ShardRecord &record) const
{
    return pendingWrite_ && record.holder == settings_.self && record.epoch == pendingWrite_->epoch
            && record.renewal == pendingWrite_->renewal;
}

Milliseconds ShardLease::claimDelay() const
{
    std::vector<InstanceId> others = candidates();
    std::erase(others, record_.holder);
    const auto position = std::ranges::find(others, settings_.self) - others.begin();
    return claimStagger * position;
}

void ShardLease::changeState(Event event)
{
    const std::string before = lifecycle_.stateName();
    lifecycle_.handle(*this, event);
    if (lifecycle_.stateName() != before) {
        actions_.push_back(
                LogChange {"shard " + shard_.value(), before + " -> " + lifecycle_.stateName()});
    }
}

} // namespace caraway
