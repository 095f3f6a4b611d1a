#pragma once

#include "Core/Lifecycle.h"
#include "Decisions/Membership.h"
#include "Decisions/Policy/StandardPolicy.h"
#include "Decisions/PresetManager.h"
#include "Decisions/RequestRouter.h"
#include "Decisions/ShardLease.h"
#include "Decisions/ShardScheduler.h"

#include <map>

namespace caraway {

/// All decisions of one entry instance. Deterministic: the same events at the same times give
/// the same actions.
class Instance
{
public:
    enum class State { Starting, Ready, Draining, Stopped };
    enum class Event { PresetAvailable, StopRequested, Drained };
    static const BoundChart<Instance> &chart();

    explicit Instance(DecisionSettings settings);

    /// Handles one event and returns the actions to carry out, in order.
    Actions handle(TimePoint now, const caraway::Event &event);

    bool isReady() const { return lifecycle_.isIn(State::Ready); }

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
    void startRecoveryIfClaimed(Shard &shard);
    void updateReadiness();
    void collectActions();
    void deliverToSelf();
    void checkDrained();
    Shard *heldShard(const ShardId &id);
    Shard &shardFor(const ShardId &id);
    void answer(RequestId id, Error error);

    void releaseShards();
    void exitProcess() { actions_.push_back(ExitProcess {}); }

    DecisionSettings settings_;
    TimePoint now_;
    Membership membership_;
    PresetManager presets_;
    RequestRouter router_;
    std::map<ShardId, Shard> shards_;
    Lifecycle<Instance> lifecycle_;
    /// When the instance last held a shard or had an open request.
    TimePoint lastBusyAt_;
    TimePoint shardsReadAt_;
    /// A read of the shard records is in flight; at most one at a time, however slow the store.
    bool shardReadInFlight_ = false;
    bool shardReadRequested_ = false;
    TimePoint heartbeatSentAt_;
    Actions actions_;
};

} // namespace caraway
