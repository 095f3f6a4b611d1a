#include "Decisions/Instance.h"

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

/// After this time the reply to a read counts as lost.
constexpr Milliseconds storeReplyTimeout(5000);
/// Time to send the last messages to peers before the process exits.
constexpr Milliseconds finalSendTime(300);

} // namespace

const BoundChart<Instance> &Instance::chart()
{
    static const BoundChart<Instance> bound = BoundChart<Instance> {
            "Process.scxml",
            {"starting", "ready", "draining", "stopped"},
            {"presetAvailable", "stopRequested", "drained"},
            {},
            {{"releaseShards", &Instance::releaseShards},
             {"exitProcess", &Instance::exitProcess}}}.loadedOrAbort();
    return bound;
}

Instance::Instance(DecisionSettings settings)
    : settings_(std::move(settings))
    , membership_(settings_)
    , presets_(settings_.self)
    , router_(membership_)
{
}

Actions Instance::handle(TimePoint now, const caraway::Event &event)
{
    now_ = now;
    std::visit([this](const auto &body) { on(body); }, event);
    collectActions();
    deliverToSelf();
    checkDrained();
    return std::exchange(actions_, {});
}

void Instance::on(const Tick & /*tick*/)
{
    sendPeerHeartbeatsIfDue();
    presets_.onTick(now_);
    for (auto &[id, shard] : shards_)
        tickShard(shard);
    router_.onTick(now_);
    readStoreIfDue();
}

void Instance::tickShard(Shard &shard)
{
    shard.lease.onTick(now_);
    if (shard.lease.takeReadRequested())
        shardReadRequested_ = true;
    startRecoveryIfClaimed(shard);
    if (shard.lease.isSettling() && !shard.scheduler.hasStartsInFlight())
        shard.lease.onStartsResolved(now_);
    if (!shard.lease.isHeld())
        return;
    const TimePoint startsEndAt = shard.lease.isServing() ? shard.lease.startsEndAt() : TimePoint();
    shard.scheduler.onTick(now_, startsEndAt, shard.lease.startsEndAt());
    if (shard.lease.isRecovering() && shard.scheduler.isRecovered())
        shard.lease.onRecovered();
}

void Instance::startRecoveryIfClaimed(Shard &shard)
{
    if (shard.lease.takeRecoveryStarted())
        shard.scheduler.startRecovery(now_, shard.lease.epoch());
}

void Instance::on(const CallerRequest &request)
{
    std::visit([&](const auto &body) { onCaller(request.id, body); }, request.body);
}

void Instance::onCaller(RequestId id, const SubmitJob &body)
{
    if (isReady() && membership_.hasList()) {
        router_.submit(now_, id, body);
        return;
    }
    const bool stopping = lifecycle_.isIn(State::Draining) || lifecycle_.isIn(State::Stopped);
    answer(id,
           stopping ? Error {ErrorKind::Stopping,
                             "The instance is stopping. Submit again to another one."}
                    : Error {ErrorKind::NotReady,
                             "No preset is in force here yet. Put one in force with `preset "
                             "use`, or submit again later."});
}

void Instance::onCaller(RequestId id, const ListWorkers & /*body*/)
{
    std::vector<WorkerRow> rows;
    for (auto &[shardId, shard] : shards_) {
        if (shard.lease.isHeld())
            std::ranges::move(shard.scheduler.workerRows(), std::back_inserter(rows));
    }
    actions_.push_back(AnswerCaller {id, std::move(rows)});
}

void Instance::onCaller(RequestId id, const ShowPresetInForce & /*body*/)
{
    if (presets_.inForce()) {
        actions_.push_back(AnswerCaller {id, *presets_.inForce()});
        return;
    }
    answer(id,
           {ErrorKind::NotReady,
            "No preset is in force here yet. Put one in force with `preset use`."});
}

void Instance::onCaller(RequestId id, const ShowStatus & /*body*/)
{
    InstanceStatus status {
            lifecycle_.stateName(), presets_.revision(), router_.openRequestCount(), {}};
    for (const auto &[shardId, shard] : shards_) {
        status.shards.push_back({shardId, shard.lease.stateName(), shard.lease.epoch(),
                                 shard.scheduler.queuedTaskCount(), shard.scheduler.jobCount()});
    }
    actions_.push_back(AnswerCaller {id, std::move(status)});
}

void Instance::on(const PeerMessageReceived &received)
{
    // Ignored: an entry instance that is not listed yet repeats its messages once it is listed.
    if (received.from != settings_.self && !membership_.findEntry(received.from))
        return;
    std::visit([&](const auto &body) { onPeer(received.from, body); }, received.message);
}

void Instance::onPeer(const InstanceId &from, const HolderRequest &request)
{
    Shard *shard = heldShard(request.shard);
    if (!shard || !presets_.inForce()) {
        actions_.push_back(SendToPeer {from, HolderReply {request.id, true, {}}});
        return;
    }
    shard->scheduler.usePreset(presets_.inForce()->preset);
    shard->scheduler.onRequest(now_, from, request);
    tickShard(*shard);
}

void Instance::onPeer(const InstanceId & /*from*/, const HolderReply &reply)
{
    router_.onReply(reply);
}

void Instance::onPeer(const InstanceId &from, const PeerHeartbeat &heartbeat)
{
    presets_.onPeerRevision(now_, from, heartbeat.presetRevision);
}

void Instance::onPeer(const InstanceId & /*from*/, const PeerPreset &preset)
{
    presets_.updateInForce(preset.inForce);
    updateReadiness();
}

void Instance::onPeer(const InstanceId & /*from*/, const ShardRecordNotice &notice)
{
    const auto known = shards_.find(notice.record.shard);
    if (known == shards_.end())
        return;
    known->second.lease.onRecordNotice(now_, notice.record);
    membership_.updateShardRecord(notice.record);
}

void Instance::onPeer(const InstanceId &from, const PromiseRequest &request)
{
    const auto known = shards_.find(request.shard);
    if (known != shards_.end())
        known->second.lease.onPromiseRequest(now_, from, request);
}

void Instance::onPeer(const InstanceId &from, const PromiseReply &reply)
{
    if (Shard *shard = heldShard(reply.shard))
        shard->lease.onPromiseReply(now_, from, reply);
}

void Instance::on(const PeerLinkChanged & /*changed*/) { }

void Instance::on(const StoreAnswered &answered)
{
    std::visit([&](const auto &body) { onStore(answered.sentAt, body); }, answered.body);
}

void Instance::onStore(TimePoint sentAt, const ShardRecordsRead &read)
{
    shardReadInFlight_ = false;
    if (read.outcome != StoreOutcome::Done)
        return;
    for (const ShardId &id : membership_.shards()) {
        const auto found = std::ranges::find(read.records, id, &ShardRecord::shard);
        std::optional<ShardRecord> record;
        if (found != read.records.end())
            record = *found;
        Shard &shard = shardFor(id);
        shard.lease.onRecordRead(now_, sentAt, record);
        startRecoveryIfClaimed(shard);
    }
    for (const ShardRecord &record : read.records)
        membership_.updateShardRecord(record);
}

void Instance::onStore(TimePoint sentAt, const ShardRecordWritten &written)
{
    Shard &shard = shardFor(written.record.shard);
    shard.lease.onRecordWritten(now_, sentAt, written);
    // Recovery starts at once, because it would discard a request received before it.
    startRecoveryIfClaimed(shard);
    if (written.outcome == StoreOutcome::Done)
        membership_.updateShardRecord(written.record);
}

void Instance::on(const ConfigurationAnswered &answered)
{
    std::visit([this](const auto &body) { presets_.on(now_, body); }, answered.body);
    updateReadiness();
}

void Instance::on(const StartAnswered &answered)
{
    if (Shard *shard = heldShard(answered.shard))
        shard->scheduler.onStartAnswered(now_, answered);
}

void Instance::on(const HeartbeatAnswered &answered)
{
    if (Shard *shard = heldShard(answered.shard)) {
        shard->scheduler.onHeartbeatAnswered(now_, answered);
        tickShard(*shard);
    }
}

void Instance::on(const TaskReported &reported)
{
    for (auto &[id, shard] : shards_) {
        if (!shard.lease.isHeld())
            continue;
        shard.scheduler.onTaskReported(now_, reported);
        tickShard(shard);
    }
}

void Instance::on(const InstanceListRead &read)
{
    // The platform's list is sometimes empty for a moment; the previous one stays in use.
    if (read.list.entries.empty() && read.list.workers.empty())
        return;
    membership_.update(read.list, read.readAt);
    Resources fleetCapacity;
    for (const WorkerMember &worker : read.list.workers)
        fleetCapacity += worker.capacity;
    for (const ShardId &id : membership_.shards()) {
        shardFor(id).scheduler.setFleetCapacity(fleetCapacity);
        shardFor(id).scheduler.setWorkers(now_, membership_.workersOf(id));
    }
    ConnectPeers connect;
    std::ranges::copy_if(read.list.entries, std::back_inserter(connect.peers),
                         [this](const EntryMember &entry) { return entry.id != settings_.self; });
    actions_.push_back(std::move(connect));
}

void Instance::on(const StopRequested & /*stop*/)
{
    lifecycle_.handle(*this, Event::StopRequested);
}

void Instance::releaseShards()
{
    for (auto &[id, shard] : shards_)
        shard.lease.onStopRequested(now_);
}

void Instance::checkDrained()
{
    const bool holdsShard = std::ranges::any_of(
            shards_, [](const auto &entry) { return entry.second.lease.isHeld(); });
    if (holdsShard || router_.hasOpenRequests())
        lastBusyAt_ = now_;
    if (now_ - lastBusyAt_ >= finalSendTime && lifecycle_.handle(*this, Event::Drained))
        collectActions();
}

void Instance::readStoreIfDue()
{
    const Milliseconds sinceRead = now_ - shardsReadAt_;
    if (shardReadInFlight_ && sinceRead < storeReplyTimeout)
        return;
    if (!shardReadRequested_ && sinceRead < settings_.shardRead)
        return;
    shardsReadAt_ = now_;
    shardReadInFlight_ = true;
    shardReadRequested_ = false;
    actions_.push_back(CallStore {ReadShardRecords {}});
}

void Instance::sendPeerHeartbeatsIfDue()
{
    if (now_ - heartbeatSentAt_ < settings_.peerHeartbeat)
        return;
    heartbeatSentAt_ = now_;
    PeerHeartbeat heartbeat {{}, presets_.revision()};
    for (const auto &[id, shard] : shards_) {
        if (shard.lease.isHeld())
            heartbeat.held.emplace_back(id, shard.lease.epoch());
    }
    for (const EntryMember &entry : membership_.list().entries) {
        if (entry.id != settings_.self)
            actions_.push_back(SendToPeer {entry.id, heartbeat});
    }
}

void Instance::updateReadiness()
{
    if (presets_.inForce())
        lifecycle_.handle(*this, Event::PresetAvailable);
}

void Instance::collectActions()
{
    router_.drainActions(actions_);
    presets_.drainActions(actions_);
    for (auto &[id, shard] : shards_) {
        shard.lease.drainActions(actions_);
        shard.scheduler.drainActions(actions_);
    }
}

void Instance::deliverToSelf()
{
    const auto isToSelf = [this](const Action &action) {
        const auto *send = std::get_if<SendToPeer>(&action);
        return send && send->peer == settings_.self;
    };
    for (auto toSelf = std::ranges::find_if(actions_, isToSelf); toSelf != actions_.end();
         toSelf = std::ranges::find_if(actions_, isToSelf)) {
        const PeerMessage message = std::move(std::get<SendToPeer>(*toSelf).message);
        actions_.erase(toSelf);
        on(PeerMessageReceived {settings_.self, message});
        collectActions();
    }
}

Instance::Shard *Instance::heldShard(const ShardId &id)
{
    const auto found = shards_.find(id);
    return found != shards_.end() && found->second.lease.isHeld() ? &found->second : nullptr;
}

Instance::Shard &Instance::shardFor(const ShardId &id)
{
    const auto found = shards_.find(id);
    if (found != shards_.end())
        return found->second;
    Shard newShard {ShardLease(id, settings_, membership_), Scheduler(id, settings_)};
    return shards_.emplace(id, std::move(newShard)).first->second;
}

void Instance::answer(RequestId id, Error error)
{
    actions_.push_back(AnswerCaller {id, std::move(error)});
}

} // namespace caraway
