#include "Cell/HolderElection.h"

#include "Decisions/StableHash.h"

namespace caraway::cell {

namespace {

/// Relisting the holder record confirms the holder at this interval.
constexpr RecordWatcher::Intervals intervals {Milliseconds(700), Milliseconds(20)};
/// Covers two lost renewals. A failed holder is detected when the lease expires.
constexpr Milliseconds leaseLifetime {1500};
constexpr Milliseconds renewalInterval {400};
constexpr Milliseconds renewalTimeout {900};
/// Lets a holder whose lease expired in an outage of the store restore it before others claim.
constexpr Milliseconds claimDelay {200};
/// Range over which the claims of the other instances are spread, by a hash of their names.
constexpr std::uint64_t claimSpreadMs = 200;
constexpr Milliseconds claimRetryDelay {300};
/// Added for instances with fewer processors than the last holder, so that the others claim
/// first: a small instance that schedules a large fleet falls behind.
constexpr Milliseconds fewerProcessorsDelay {600};
/// Delay of a cell's first claim, in proportion to the part of one processor that the instance
/// lacks, so that larger instances claim first. Instances start within a few hundred milliseconds
/// of each other.
constexpr std::int64_t firstClaimDelayMsPerProcessor = 1000;
constexpr std::int64_t millicoresPerProcessor = 1000;
/// An instance with at least this many times the holder's processors replaces it, once the
/// holder has been known for undersizedHolderDelay.
constexpr std::int64_t undersizedFactor = 2;
constexpr Milliseconds undersizedHolderDelay {3000};
/// A longer gap between two events means that the process was paused.
constexpr Milliseconds processPauseLimit {1000};

} // namespace

HolderElection::HolderElection(CellContext &context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
    , watcher_(context, RecordType::Holder, intervals,
               {[this](const StoreItem &item) { onItem(item); },
                [this](const RecordKey &key) { onRemoved(key); },
                [this](TimePoint sentAt) { onListed(sentAt); }})
{
}

const BoundChart<HolderElection> &HolderElection::chart()
{
    using Election = HolderElection;
    static const BoundChart<Election> bound = BoundChart<Election> {
            "CellHolder.scxml",
            {"following", "claiming", "holder", "loading", "scheduling", "unconfirmed", "released"},
            {"claimDue", "leaseGranted", "claimed", "claimFailed", "superseded", "stopRequested",
             "loaded", "confirmationOverdue", "confirmed"},
            {},
            {{"requestLease", &Election::requestLease},
             {"commitClaim", &Election::commitClaim},
             {"startTerm", &Election::startTerm},
             {"endTerm", &Election::endTerm},
             {"releaseLease",
              &Election::releaseLease}}}.loadedOrAbort();
    return bound;
}

void HolderElection::start()
{
    leaseMissingSince_ = lastEventAt_ = context_.now();
    watcher_.start();
}

void HolderElection::tick()
{
    watcher_.tick();
    if (isHolder()) {
        renewIfDue();
        if (!isConfirmed())
            handle(Event::ConfirmationOverdue);
        return;
    }
    if (isClaimDue())
        handle(Event::ClaimDue);
}

void HolderElection::confirmSoon()
{
    // Otherwise lists are retried at the interval for an outage.
    if (context_.storeHealth().isServing())
        watcher_.relistSoon();
}

void HolderElection::noticePause()
{
    const TimePoint now = context_.now();
    const Milliseconds paused = now - std::exchange(lastEventAt_, now);
    if (paused <= processPauseLimit)
        return;
    if (isHolder())
        context_.log("event=process_paused paused_ms={}", paused.count());
    withdrawConfirmation(now);
}

void HolderElection::onSuperseded()
{
    if (maySchedule()) {
        context_.log("event=later_holder_shown generation={} confirmed_ms={}", generation_,
                     (context_.now() - confirmedAt_).count());
    }
    // A list sent in the same millisecond may have been sent before.
    withdrawConfirmation(context_.now() + Milliseconds(1));
}

void HolderElection::withdrawConfirmation(TimePoint neededFrom)
{
    confirmationNeededFrom_ = neededFrom;
    if (!isHolder())
        return;
    watcher_.relistSoon();
    handle(Event::ConfirmationOverdue);
}

void HolderElection::onItem(const StoreItem &item)
{
    if (item.key.type == RecordType::HolderLease) {
        leaseRevision_ = item.revision;
        return;
    }
    const auto *record = std::get_if<HolderRecord>(&item.value);
    if (!record)
        return;
    holderRevision_ = item.revision;
    if (holder_ && holder_->generation > record->generation)
        return;
    setHolder(*record);
    refusedPeer_.reset();
    context_.log("event=holder_record_read instance={} generation={} revision={}",
                 record->process.instance.value(), record->generation, item.revision.value());
    if (isHolder() && item.revision > termRevision_)
        handle(Event::Superseded);
}

void HolderElection::onRemoved(const RecordKey &key)
{
    if (key.type != RecordType::HolderLease)
        return;
    leaseRevision_ = {};
    leaseMissingSince_ = context_.now();
    if (isHolder())
        restoreLease();
}

void HolderElection::onListed(TimePoint sentAt)
{
    if (isHolder() && holderRevision_ == termRevision_)
        confirm(sentAt);
}

void HolderElection::confirm(TimePoint sentAt)
{
    confirmedAt_ = std::max(confirmedAt_, sentAt);
    if (isConfirmed())
        handle(Event::Confirmed);
}

bool HolderElection::isConfirmed() const
{
    const Milliseconds limit = confirmationLimit(context_.settings().workerLease);
    return confirmedAt_ >= confirmationNeededFrom_ && context_.now() - confirmedAt_ <= limit;
}

bool HolderElection::hasHolderExited() const
{
    if (!holder_)
        return false;
    const ProcessId &self = context_.self();
    const bool isEarlierIncarnation = holder_->process.instance == self.instance
            && holder_->process.incarnation != self.incarnation;
    return isEarlierIncarnation || refusedPeer_ == holder_->peers;
}

bool HolderElection::isClaimDue() const
{
    const TimePoint now = context_.now();
    if (!context_.storeHealth().isServing() || !watcher_.isListed() || now < nextClaim_
        || lifecycle_.isIn(State::Released))
        return false;
    const Milliseconds processorsDelay
            = hasFewerProcessorsThanHolder() ? fewerProcessorsDelay : Milliseconds();
    if (hasHolderExited() && now - refusedAt_ >= processorsDelay)
        return true;
    const std::uint64_t spread = stableHash(context_.self().instance.value()) % claimSpreadMs;
    const Milliseconds delay = claimDelay + Milliseconds(static_cast<std::int64_t>(spread));
    if (leaseRevision_ != Revision())
        return isHolderUndersized() && now - holderChangedAt_ >= undersizedHolderDelay + delay;
    return now - leaseMissingSince_ >= (holder_ ? delay + processorsDelay : firstClaimDelay());
}

Milliseconds HolderElection::firstClaimDelay() const
{
    const std::int64_t missing = millicoresPerProcessor - context_.settings().processors.count();
    return Milliseconds(std::max<std::int64_t>(0, missing) * firstClaimDelayMsPerProcessor
                        / millicoresPerProcessor);
}

bool HolderElection::hasFewerProcessorsThanHolder() const
{
    return holder_ && context_.settings().processors < holder_->processors;
}

bool HolderElection::isHolderUndersized() const
{
    return holder_ && holder_->processors > Millicores()
            && holder_->processors * undersizedFactor <= context_.settings().processors;
}

/// A holder was confirmed before the claim of the next one at the latest, and renews no leases
/// after its end.
void HolderElection::setHolder(const HolderRecord &holder)
{
    const bool isNew = !holder_ || holder_->generation != holder.generation;
    if (!isNew) {
        holder_ = holder;
        return;
    }
    const TimePoint renewalsEnd = context_.now() + renewalLimit;
    formerHolder_.reset();
    if (holder_ && holder_->generation + 1 == holder.generation) {
        olderRenewalsEnd_ = earlierRenewalsEnd();
        formerHolder_ = holder_->process;
        formerRenewalsEnd_ = holderEndedAt_.value_or(renewalsEnd);
    } else {
        olderRenewalsEnd_ = holder.generation == 0 ? TimePoint() : renewalsEnd;
        formerRenewalsEnd_ = {};
    }
    holder_ = holder;
    holderEndedAt_.reset();
    holderChangedAt_ = context_.now();
}

void HolderElection::onPeerSeen(const ProcessId &peer)
{
    const TimePoint now = context_.now();
    const auto hasRestartedAs = [&peer](const ProcessId &process) {
        return peer.instance == process.instance && peer.incarnation > process.incarnation;
    };
    if (holder_ && !holderEndedAt_ && hasRestartedAs(holder_->process))
        holderEndedAt_ = now;
    if (!formerHolder_ || now >= formerRenewalsEnd_ || !hasRestartedAs(*formerHolder_))
        return;
    formerRenewalsEnd_ = now;
    context_.log("event=former_holder_ended instance={} incarnation={} seen={}",
                 peer.instance.value(), formerHolder_->incarnation, peer.incarnation);
}

void HolderElection::onPeerRefused(const Address &peer)
{
    if (!holder_ || holder_->peers != peer || isHolder() || refusedPeer_ == peer)
        return;
    refusedPeer_ = peer;
    refusedAt_ = context_.now();
}

void HolderElection::onHolderAnnounced(const HolderRecord &holder)
{
    if (holder_ && holder.generation <= holder_->generation)
        return;
    setHolder(holder);
    refusedPeer_.reset();
    watcher_.relistSoon();
    context_.log("event=holder_announced instance={} generation={}",
                 holder.process.instance.value(), holder.generation);
    if (isHolder())
        handle(Event::Superseded);
}

void HolderElection::requestLease()
{
    nextClaim_ = context_.now() + claimRetryDelay;
    context_.callStore(
            StoreGrantLease {leaseLifetime},
            [this](const StoreReply &reply) {
                lease_ = reply.lease;
                handle(reply.outcome == StoreOutcome::Done ? Event::LeaseGranted
                                                           : Event::ClaimFailed);
            },
            renewalTimeout);
}

HolderRecord HolderElection::ownRecord(std::uint64_t generation) const
{
    return {context_.self(), context_.settings().peers, generation, context_.settings().processors};
}

void HolderElection::commitClaim()
{
    generation_ = holder_ ? holder_->generation + 1 : 0;
    StoreCommit commit;
    commit.require({RecordType::Holder, {}}, holderRevision_);
    commit.require({RecordType::HolderLease, {}}, leaseRevision_);
    commit.write({RecordType::Holder, {}}, ownRecord(generation_));
    commit.write({RecordType::HolderLease, {}}, ownRecord(generation_), lease_);
    confirmedAt_ = context_.now();
    context_.callStore(std::move(commit), [this](const StoreReply &reply) { onClaimReply(reply); });
}

void HolderElection::onClaimReply(const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::Unanswered) {
        resolveClaim();
        return;
    }
    if (reply.outcome != StoreOutcome::Done) {
        watcher_.relistSoon();
        handle(Event::ClaimFailed);
        return;
    }
    termRevision_ = holderRevision_ = leaseRevision_ = reply.revision;
    handle(Event::Claimed);
}

/// The claim's outcome is unknown; the holder record shows whether it was committed. If it is
/// committed after this read, the watcher receives a record that names this process although it
/// is not the holder.
void HolderElection::resolveClaim()
{
    context_.callStore(StoreGet {{RecordType::Holder, {}}},
                       [this](const StoreReply &reply) { onClaimResolved(reply); });
}

void HolderElection::onClaimResolved(const StoreReply &reply)
{
    const HolderRecord *record = nullptr;
    if (reply.outcome == StoreOutcome::Done && !reply.items.empty())
        record = std::get_if<HolderRecord>(&reply.items.front().value);
    if (!record || record->process != context_.self() || record->generation != generation_) {
        watcher_.relistSoon();
        handle(Event::ClaimFailed);
        return;
    }
    termRevision_ = holderRevision_ = reply.items.front().revision;
    leaseRevision_ = termRevision_;
    handle(Event::Claimed);
}

void HolderElection::startTerm()
{
    setHolder(ownRecord(generation_));
    nextRenewal_ = context_.now() + renewalInterval;
    context_.log("event=term_started generation={} token={}", generation_, token().value());
    handlers_.termStarted();
}

void HolderElection::endTerm()
{
    context_.log("event=term_ended generation={} token={} holder_revision={}", generation_,
                 token().value(), holderRevision_.value());
    handlers_.termEnded();
}

void HolderElection::releaseLease()
{
    if (lease_ != LeaseId())
        context_.callStore(StoreEndLease {lease_}, [](const StoreReply &) {});
}

/// Does not wait for the reply to the last renewal: while many events are queued, it may be handled
/// after the lease has expired.
void HolderElection::renewIfDue()
{
    if (!isHolder() || restoring_ || context_.now() < nextRenewal_)
        return;
    nextRenewal_ = context_.now() + renewalInterval;
    context_.callStore(
            StoreRenewLease {lease_},
            [this, lease = lease_](const StoreReply &reply) {
                if (lease == lease_)
                    onRenewed(reply);
            },
            renewalTimeout);
}

void HolderElection::onRenewed(const StoreReply &reply)
{
    if (isHolder() && reply.outcome == StoreOutcome::NotFound)
        restoreLease();
}

/// The lease expired, for example in an outage of the store. As long as the holder record has the
/// revision of this term, no other instance has become the holder.
void HolderElection::restoreLease()
{
    if (restoring_)
        return;
    restoring_ = true;
    context_.callStore(
            StoreGrantLease {leaseLifetime},
            [this](const StoreReply &reply) {
                restoring_ = false;
                if (reply.outcome == StoreOutcome::Done && isHolder())
                    writeLeaseRecord(reply.lease);
            },
            renewalTimeout);
}

void HolderElection::writeLeaseRecord(LeaseId lease)
{
    lease_ = lease;
    StoreCommit commit;
    commit.preconditions.push_back(holderPrecondition());
    commit.write({RecordType::HolderLease, {}}, ownRecord(generation_), lease);
    context_.callStore(std::move(commit), [this](const StoreReply &reply) {
        if (reply.outcome == StoreOutcome::Conflict)
            watcher_.relistSoon();
    });
}

StorePrecondition HolderElection::holderPrecondition() const
{
    return {{RecordType::Holder, {}}, termRevision_};
}

} // namespace caraway::cell
