#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"
#include "Decisions/ClaimPromises.h"
#include "Decisions/Membership.h"
#include "Decisions/Settings.h"

#include <optional>
#include <set>

namespace caraway {

/// The lease of one shard as seen by this instance: it follows, claims, renews and releases it.
///
/// A holder counts its lease from before it sent the renewal. A claimant counts it from after it
/// first read the unchanged record, so the claimant's count always ends later than the holder's.
/// It claims only after a read sent past that end shows that the record is still unchanged.
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
        Settling,
        Releasing
    };
    enum class Event {
        ClaimDue,
        Written,
        Superseded,
        ClaimAbandoned,
        Recovered,
        LeaseExpired,
        StopRequested,
        ExtendedByPromises,
        StartsResolved,
    };
    static const BoundChart<ShardLease> &chart();

    ShardLease(ShardId shard, const DecisionSettings &settings, const Membership &membership);

    /// Processes a read of the shard's record, sent to the store at \a sentAt.
    void onRecordRead(TimePoint now, TimePoint sentAt, const std::optional<ShardRecord> &record);
    void onRecordWritten(TimePoint now, TimePoint sentAt, const ShardRecordWritten &written);
    /// Processes a record sent by the instance that wrote it. It doesn't show that the record is
    /// still current.
    void onRecordNotice(TimePoint now, const ShardRecord &record);
    /// Replies with a promise not to claim the shard for the promise duration. Refuses if a newer
    /// epoch exists, or if this instance holds the shard or has an unresolved claim.
    void onPromiseRequest(TimePoint now, const InstanceId &from, const PromiseRequest &request);
    void onPromiseReply(TimePoint now, const InstanceId &from, const PromiseReply &reply);
    void onRecovered()
    {
        recovered_ = true;
        changeState(Event::Recovered);
    }
    void onStopRequested(TimePoint now);
    /// Releases the shard; called when no start is in flight to a worker any more.
    void onStartsResolved(TimePoint now);
    void onTick(TimePoint now);

    const ShardId &shard() const { return shard_; }
    bool isHeld() const { return lifecycle_.isIn(State::Holding); }
    bool isRecovering() const { return lifecycle_.isIn(State::Recovering); }
    bool isSettling() const { return lifecycle_.isIn(State::Settling); }
    bool isServing() const { return lifecycle_.isIn(State::Serving); }
    Epoch epoch() const { return record_.epoch; }
    /// No start may be sent at or after this time.
    TimePoint startsEndAt() const { return std::max(leaseEndsAt(), promisedLeaseEndsAt()); }
    const std::string &stateName() const { return lifecycle_.stateName(); }
    /// Whether recovery has started since the last call.
    bool takeRecoveryStarted() { return std::exchange(recoveryStarted_, false); }
    /// Whether an immediate read of the shard's record was requested since the last call.
    bool takeReadRequested() { return std::exchange(readRequested_, false); }
    /// Appends the actions produced since the last call to \a actions.
    void drainActions(Actions &actions);

private:
    bool mayClaim() const;
    bool isStopping() const { return stopping_; }
    bool wasRecovered() const { return recovered_; }
    void sendClaim();
    void sendRelease();
    void startRecovery();
    void announceRecord();
    /// Writes \a next if the record is unchanged. If \a notAfter is set, the write is dropped
    /// instead of being sent at or after that time.
    void write(ShardRecord next, TimePoint notAfter = {});
    void confirmRecord();
    void claimIfDue();
    TimePoint leaseEndsAt() const
    {
        return leaseCountedFrom_ + settings_.shardLease - settings_.leaseMargin;
    }
    /// The time until which the other candidates' promises extend the lease, minus the lease
    /// margin; TimePoint() if they don't extend it.
    TimePoint promisedLeaseEndsAt() const;
    /// The other candidates, all of whose promises the holder needs to extend its lease while the
    /// store is unreachable.
    std::vector<InstanceId> promisers() const;
    void requestPromisesIfDue();
    /// Whether the holder has released the shard or cannot extend its lease by promises, because it
    /// needs one from this instance and none is in force.
    bool isHolderUnableToExtend() const;
    void requestRead();
    void applyRecord(const ShardRecord &record);
    /// The instances that may claim: the candidates in the last record, or those of the instance
    /// list if the list no longer names any of them.
    std::vector<InstanceId> candidates() const;
    void renewIfDue();
    void renew();
    void trackRecordChange(TimePoint sentAt, const std::optional<ShardRecord> &record);
    bool isOwnWrite(const ShardRecord &record) const;
    Milliseconds claimDelay() const;
    void changeState(Event event);

    ShardId shard_;
    const DecisionSettings &settings_;
    const Membership &membership_;
    Lifecycle<ShardLease> lifecycle_;
    TimePoint now_;
    /// The last record read or written; revision 0 while there is none.
    ShardRecord record_;
    bool recordSeen_ = false;
    TimePoint unchangedSince_;
    /// When the most recent answered read of the record was sent.
    TimePoint readSentAt_;
    bool readRequested_ = false;
    TimePoint readRequestedAt_;
    /// The most recent write, while its outcome is unresolved: its reply is outstanding or lost.
    std::optional<ShardRecord> pendingWrite_;
    TimePoint pendingWriteSentAt_;
    bool writeOutstanding_ = false;
    std::uint64_t writesSent_ = 0;
    TimePoint leaseCountedFrom_;
    ClaimPromises promises_;
    /// Every candidate in a record that this instance wrote, or may have written.
    std::set<InstanceId> possibleClaimants_;
    /// A write failed its precondition: another instance may have claimed.
    bool mayBeSuperseded_ = false;
    /// The time until which this instance has promised a holder not to claim.
    TimePoint promisedUntil_;
    /// Lower bound of the time at which the last record was written; zero until a change is seen.
    TimePoint recordWrittenAfter_;
    bool recoveryStarted_ = false;
    bool recovered_ = false;
    bool stopping_ = false;
    Actions actions_;
};

} // namespace caraway
