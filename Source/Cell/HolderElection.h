#pragma once

#include "Cell/RecordWatcher.h"
#include "Cell/WorkerLimits.h"
#include "Core/Lifecycle.h"

namespace caraway::cell {

/// Decides by two records in the store which instance schedules the cell. The holder record
/// changes with each holder; its revision is the fencing token and a precondition of every commit
/// of the holder. The lease record only shows that the holder is alive: the store deletes it
/// with the holder's lease.
class HolderElection
{
public:
    enum class State {
        Following,
        Claiming,
        Holder,
        Loading,
        Scheduling,
        Unconfirmed,
        Released,
    };
    enum class Event {
        ClaimDue,
        LeaseGranted,
        Claimed,
        ClaimFailed,
        Superseded,
        StopRequested,
        Loaded,
        ConfirmationOverdue,
        Confirmed,
    };
    struct Handlers
    {
        /// This process became the holder: read jobs, progress and workers, then call onLoaded().
        std::function<void()> termStarted;
        std::function<void()> termEnded;
    };

    HolderElection(CellContext &context, Handlers handlers);
    static const BoundChart<HolderElection> &chart();

    void start();
    void tick();
    /// Withdraws the confirmation after a pause of the process. To be called before each event and
    /// each scheduling pass, as events that waited during a pause come before the next tick.
    void noticePause();
    void onLoaded() { handle(Event::Loaded); }
    /// Has the holder record listed at the next tick, unless the store serves nothing.
    void confirmSoon();
    /// A commit failed on its precondition on the holder record, or a worker has seen a later
    /// token. Only a list that is sent later can confirm the holder.
    void onSuperseded();
    /// \a peer refused a connection. If it is the holder's address, the holder's process has
    /// exited.
    void onPeerRefused(const Address &peer);
    /// A message of \a peer was received. A later incarnation of an earlier holder shows that the
    /// holder's process has ended.
    void onPeerSeen(const ProcessId &peer);
    /// An instance announced itself as the holder; ignored unless its generation is higher than
    /// that of the known holder.
    void onHolderAnnounced(const HolderRecord &holder);
    void stop() { handle(Event::StopRequested); }

    /// Renews the holder's lease when that is due. To be called after each batch of events, as the
    /// next tick may be queued behind many events.
    void renewIfDue();

    bool isHolder() const { return lifecycle_.isIn(State::Holder); }
    /// Whether this process is the holder, has read its records and is confirmed at the time of
    /// the present event, so that it may start tasks, stop them and renew leases.
    bool maySchedule() const { return lifecycle_.isIn(State::Scheduling) && isConfirmed(); }
    const std::optional<HolderRecord> &holder() const { return holder_; }
    /// Fencing token of this process's term, higher than that of every earlier holder.
    FencingToken token() const { return FencingToken(termRevision_.value()); }
    std::uint64_t generation() const { return generation_; }
    /// Precondition for the holder's commits: the holder record still has this term's revision.
    StorePrecondition holderPrecondition() const;
    /// Send time of the latest list, or of the claim, by which the store named this process as
    /// the holder.
    TimePoint confirmedAt() const { return confirmedAt_; }
    /// The latest time at which a holder before the known one may renew leases of workers by their
    /// full length.
    TimePoint earlierRenewalsEnd() const { return std::max(olderRenewalsEnd_, formerRenewalsEnd_); }

private:
    void handle(Event event) { lifecycle_.handle(*this, event); }
    void requestLease();
    void commitClaim();
    void startTerm();
    void endTerm();
    void releaseLease();

    void onItem(const StoreItem &item);
    void onRemoved(const RecordKey &key);
    void onListed(TimePoint sentAt);
    void onClaimReply(const StoreReply &reply);
    void resolveClaim();
    void onClaimResolved(const StoreReply &reply);
    bool isClaimDue() const;
    bool hasHolderExited() const;
    bool hasFewerProcessorsThanHolder() const;
    bool isHolderUndersized() const;
    /// Delay of the claim while no holder is known.
    Milliseconds firstClaimDelay() const;
    void confirm(TimePoint sentAt);
    bool isConfirmed() const;
    /// Only lists that are requested at \a neededFrom or later confirm the holder.
    void withdrawConfirmation(TimePoint neededFrom);
    void onRenewed(const StoreReply &reply);
    void restoreLease();
    void writeLeaseRecord(LeaseId lease);
    HolderRecord ownRecord(std::uint64_t generation) const;
    void setHolder(const HolderRecord &holder);

    CellContext &context_;
    Handlers handlers_;
    RecordWatcher watcher_;
    std::optional<HolderRecord> holder_;
    Revision holderRevision_;
    /// 0 while there is no lease record.
    Revision leaseRevision_;
    TimePoint leaseMissingSince_;
    std::optional<Address> refusedPeer_;
    TimePoint refusedAt_;
    TimePoint holderChangedAt_;
    /// When the known holder's process was found to have ended.
    std::optional<TimePoint> holderEndedAt_;
    /// The holder directly before the known one; nothing when it is not known.
    std::optional<ProcessId> formerHolder_;
    TimePoint formerRenewalsEnd_;
    /// The bound for the holders before the former one.
    TimePoint olderRenewalsEnd_;
    LeaseId lease_;
    Revision termRevision_;
    std::uint64_t generation_ = 0;
    TimePoint confirmedAt_;
    /// A list requested before this time does not confirm the holder, because the process was
    /// paused after the request.
    TimePoint confirmationNeededFrom_;
    TimePoint lastEventAt_;
    TimePoint nextRenewal_;
    bool restoring_ = false;
    TimePoint nextClaim_;
    Lifecycle<HolderElection> lifecycle_;
};

} // namespace caraway::cell
