#pragma once

#include "Core/Lifecycle.h"
#include "Decisions/Membership.h"
#include "Decisions/Policy/StandardPolicy.h"
#include "Decisions/PresetKeeper.h"
#include "Decisions/RequestRouter.h"
#include "Decisions/ShardLease.h"
#include "Decisions/ShardScheduler.h"

#include <map>

namespace caraway {

/// Everything that one entry instance decides. Deterministic: the same events at the same
/// times give the same actions.
class Instance
{
public:
    enum class State { Starting, Ready, Draining, Stopped };
    enum class Event { PresetKnown, StopRequested, Drained };
    static const BoundChart<Instance> &chart();

    explicit Instance(DecisionSettings settings);

    /// Takes one event in and returns what is to be done about it, in order.
    Actions handle(TimePoint now, const caraway::Event &event);

    bool isReady() const { return machine_.isIn(State::Ready); }

private:
    using Scheduler = ShardScheduler<StandardPolicy>;
    struct Shard
    {
        ShardLease lease;
        Scheduler scheduler;
    };

    void on(const Tick &tick);
    void on(const CallerRequest &request);
    void on(const PeerMessageReceived &received);
    void on(const PeerLinkChanged &changed);
    void on(const StoreAnswered &answered);
    void on(const StartAnswered &answered);
    void on(const HeartbeatAnswered &answered);
    void on(const TaskReported &reported);
    void on(const InstanceListRead &read);
    void on(const StopRequested &stop);
    void on(const ConfigurationAnswered &answered);

    void onCaller(RequestId id, const SubmitJob &body);
    void onCaller(RequestId id, const QueryJob &body) { router_.query(now_, id, body); }
    void onCaller(RequestId id, const CancelJob &body) { router_.cancel(now_, id, body); }
    void onCaller(RequestId id, const ListWorkers &body);
    void onCaller(RequestId id, const ShowPresetInForce &body);
    void onCaller(RequestId id, const UsePreset &body) { presets_.use(now_, id, body); }
    void onCaller(RequestId id, const ListPresets & /*body*/) { presets_.list(id); }
    void onCaller(RequestId id, const DefinePreset &body) { presets_.define(id, body); }
    void onCaller(RequestId id, const ListFollowers & /*body*/)
    {
        presets_.listFollowers(now_, id);
    }
    void onCaller(RequestId id, const ShowAuditTrail &body) { presets_.showAudit(id, body); }

    void onCaller(RequestId id, const ShowStatus &body);

    void onPeer(const InstanceId &from, const HolderRequest &request);
    void onPeer(const InstanceId &from, const HolderReply &reply);
    void onPeer(const InstanceId &from, const PeerHeartbeat &heartbeat);
    void onPeer(const InstanceId &from, const PeerPreset &preset);
    void onPeer(const InstanceId &from, const ShardRecordNotice &notice);
    void onPeer(const InstanceId &from, const PromiseRequest &request);
    void onPeer(const InstanceId &from, const PromiseReply &reply);

    void onStore(TimePoint sentAt, const ShardRecordsRead &read);
    void onStore(TimePoint sentAt, const ShardRecordWritten &written);

    void readStoreIfDue();
    void sendPeerHeartbeatsIfDue();
    void tickShard(Shard &shard);
    void beginRecoveryIfHeldAnew(Shard &shard);
    void noticePreset();
    void collectActions();
    void deliverToSelf();
    void checkDrained();
    Shard *heldShard(const ShardId &id);
    Shard &shardFor(const ShardId &id);
    void answer(RequestId id, Error error);

    void handOver();
    void leave() { actions_.push_back(LeaveNow {}); }

    DecisionSettings settings_;
    TimePoint now_;
    Membership membership_;
    PresetKeeper presets_;
    RequestRouter router_;
    std::map<ShardId, Shard> shards_;
    Lifecycle<Instance> machine_;
    TimePoint shardsReadAt_;
    /// A reading is under way; at most one at a time, however slow the store.
    bool shardReadOutstanding_ = false;
    bool shardReadWanted_ = false;
    TimePoint heartbeatSentAt_;
    Actions actions_;
};

} // namespace caraway
