#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"
#include "Decisions/HolderPromises.h"
#include "Decisions/Membership.h"
#include "Decisions/Settings.h"

#include <optional>
#include <set>

namespace caraway {

/// This instance's part in one shard's lease: follow, claim, renew, release.
///
/// A holder counts its lease from before the renewal was sent. A claimant counts it
/// from after it first saw the record unchanged, so its count always ends later; it claims
/// only once a reading sent after that end has shown the record still unchanged.
class ShardLease
{
public:
    enum class State {
        Following,
        Claiming,
        Holding,
        Recovering,
        Serving,
        Leased,
        ByPromise,
        Suspended,
        Releasing
    };
    enum class Event {
        ClaimDue,
        Written,
        Superseded,
        ClaimAbandoned,
        Recovered,
        LeaseRanOut,
        StopRequested,
        Promised,
    };
    static const BoundChart<ShardLease> &chart();

    ShardLease(ShardId shard, const DecisionSettings &settings, const Membership &membership);

    /// Takes in the shard's record as the store has it now.
    void onRecordRead(TimePoint now, TimePoint sentAt, const std::optional<ShardRecord> &record);
    void onRecordWritten(TimePoint now, TimePoint sentAt, const ShardRecordWritten &written);
    /// Takes in a record that its writer has sent; it proves nothing about later times.
    void onRecordNotice(TimePoint now, const ShardRecord &record);
    /// Promises not to claim the shard for a while, unless it is known to have a newer holder.
    void onPromiseRequest(TimePoint now, const InstanceId &from, const PromiseRequest &request);
    void onPromiseReply(TimePoint now, const InstanceId &from, const PromiseReply &reply);
    void onRecovered()
    {
        recovered_ = true;
        changeState(Event::Recovered);
    }
    void onStopRequested(TimePoint now);
    void onTick(TimePoint now);

    const ShardId &shard() const { return shard_; }
    bool isHeld() const { return machine_.isIn(State::Holding); }
    bool isRecovering() const { return machine_.isIn(State::Recovering); }
    bool isServing() const { return machine_.isIn(State::Serving); }
    Epoch epoch() const { return record_.epoch; }
    /// No start may be sent at or after this time.
    TimePoint startsEndAt() const { return std::max(leaseEndsAt(), promisesEndAt()); }
    const std::string &stateName() const { return machine_.stateName(); }
    /// Whether recovery began since the last call.
    bool takeRecoveryBegun() { return std::exchange(recoveryBegun_, false); }
    /// Whether the shard's record should be read from the store at once.
    bool takeReadWanted() { return std::exchange(readWanted_, false); }
    /// Moves the actions put out since the last call to the end of \a actions.
    void drainActions(Actions &actions);

private:
    bool mayClaim() const;
    bool isStopping() const { return stopping_; }
    bool wasRecovered() const { return recovered_; }
    void sendClaim();
    void sendRelease();
    void beginRecovery();
    void announce();
    /// A write with a time in \a notAfter is not sent at or after it.
    void write(ShardRecord next, TimePoint notAfter = {});
    void becomeCertain();
    void claimIfDue();
    TimePoint leaseEndsAt() const
    {
        return leaseCountedFrom_ + settings_.shardLease - settings_.leaseMargin;
    }
    TimePoint promisesEndAt() const;
    /// The other candidates whose promises the holder needs.
    std::vector<InstanceId> promisers() const;
    void askForPromisesIfDue();
    bool isHolderBoundToAskUs() const;
    void wantRead();
    void takeRecord(const ShardRecord &record);
    /// Who may claim from the record as last seen; the list decides once it names none of them.
    std::vector<InstanceId> candidates() const;
    void renewIfDue();
    void renew();
    void noteUnchangedRecord(TimePoint sentAt, const std::optional<ShardRecord> &record);
    bool isOurs(const ShardRecord &record) const;
    Milliseconds claimDelay() const;
    void changeState(Event event);

    ShardId shard_;
    const DecisionSettings &settings_;
    const Membership &membership_;
    Lifecycle<ShardLease> machine_;
    TimePoint now_;
    /// The record as the store last showed it; revision 0 while there is none.
    ShardRecord record_;
    bool recordSeen_ = false;
    TimePoint unchangedSince_;
    /// When the newest answered reading of the record was sent.
    TimePoint readSentAt_;
    bool readWanted_ = false;
    TimePoint readWantedAt_;
    /// The newest write; its answer may be outstanding or lost.
    std::optional<ShardRecord> pending_;
    TimePoint pendingSentAt_;
    bool writeOutstanding_ = false;
    std::uint64_t writesSent_ = 0;
    TimePoint leaseCountedFrom_;
    HolderPromises promises_;
    /// Every instance that a record which we wrote, or may have written, lets claim.
    std::set<InstanceId> possibleClaimants_;
    /// A write met a conflict: another instance may have claimed.
    bool isDoubted_ = false;
    /// Until when this instance has promised a holder not to claim.
    TimePoint promisedUntil_;
    /// The record as last seen was written after this; zero while no change has been seen.
    TimePoint recordWrittenAfter_;
    bool recoveryBegun_ = false;
    bool recovered_ = false;
    bool stopping_ = false;
    Actions actions_;
};

} // namespace caraway
