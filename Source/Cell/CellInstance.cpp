#include "Cell/CellInstance.h"

namespace caraway::cell {

namespace {

/// Accepted jobs usually reach the holder by a peer message; this watch delivers those whose
/// message was lost.
constexpr RecordWatcher::Intervals jobsAndCancelsIntervals {Milliseconds(3000), Milliseconds(150)};
/// A draining worker has to be detected within two seconds.
constexpr RecordWatcher::Intervals workerIntervals {Milliseconds(1000), Milliseconds(300)};
/// Interval at which changed job states are sent to the other instances, in batches.
constexpr Milliseconds broadcastInterval {60};
/// Bounds the rate of messages in a fleet with many instances to 1000 a second.
constexpr Milliseconds broadcastIntervalPerPeer {1};
/// Counts are sent at this interval even if nothing changed, as a heartbeat of the holder.
constexpr Milliseconds loadBroadcastInterval {400};
constexpr Milliseconds helloInterval {700};
/// Without contact for longer than this, states and counts may be stale.
constexpr Milliseconds holderContactLimit {1500};
/// An instance whose configuration the store has not confirmed for this long is not ready, so
/// that callers use other instances.
constexpr Milliseconds configurationAgeLimit {2500};
constexpr Milliseconds peerContactLimit {5000};
/// A relayed request is answered within this time, unless the store does not serve the other
/// instance either.
constexpr Milliseconds relayTimeout {1200};
/// A caller that asks for a state does not wait longer for a holder that may be paused.
constexpr Milliseconds stateQueryTimeout {400};

} // namespace

CellInstance::CellInstance(CellSettings settings, ProcessId self)
    : context_(std::move(settings), std::move(self))
    , configuration_(context_)
    , configurationExchange_(context_, configuration_)
    , scheduler_(context_, configuration_,
                 {[this](const JobId &job, JobState state) { onStateChanged(job, state); },
                  [this] { election_.onSuperseded(); }, [this] { return election_.maySchedule(); }})
    , election_(context_, {[this] { startTerm(); }, [this] { endTerm(); }})
    , jobsAndCancelsWatcher_(context_, RecordType::JobsAndCancels, jobsAndCancelsIntervals,
                             {[this](const StoreItem &item) { onJobOrCancel(item); },
                              [](const RecordKey &) {},
                              [this](TimePoint sentAt) {
                                  checkLoaded();
                                  scheduler_.onJobsListed(sentAt);
                              }})
    , workerWatcher_(context_, RecordType::Workers, workerIntervals,
                     {[this](const StoreItem &item) { onWorkerItem(item); },
                      [this](const RecordKey &key) { removeWorker(WorkerId(key.name)); },
                      [this](TimePoint) { checkLoaded(); }})
    , callerRequests_(context_, configuration_, callerRequestHandlers())
    , lastRelay_(numberBeforeFirst(context_.self()))
{
}

CallerRequestHandler::Handlers CellInstance::callerRequestHandlers()
{
    CallerRequestHandler::Handlers handlers;
    handlers.accepted = [this](const AcceptedJob &job) {
        if (scheduler_.isActive())
            scheduler_.addNewJob(job);
        else if (const std::optional<Address> holder = holderAddress())
            context_.send(*holder, PeerJobAccepted {job});
    };
    handlers.cancelled = [this](const JobId &job) {
        if (scheduler_.isActive())
            scheduler_.cancelJob(job);
        else if (const std::optional<Address> holder = holderAddress())
            context_.send(*holder, PeerJobCancelled {job});
    };
    handlers.generation = [this]() -> std::uint64_t {
        return election_.holder() ? election_.holder()->generation : 0;
    };
    handlers.isHolderContactCurrent = [this] { return isHolderContactCurrent(); };
    handlers.areStatesCurrent = [this] {
        return election_.isHolder() ? election_.maySchedule() : isHolderContactCurrent();
    };
    handlers.stateAtHolder = [this](const JobId &job) {
        return election_.maySchedule() ? scheduler_.stateOf(job) : std::nullopt;
    };
    handlers.askHolder = [this](const CallerRequest &request) { return askHolder(request); };
    handlers.holderContact = [this] { return holderContact_; };
    return handlers;
}

void CellInstance::start(TimePoint now, WallTime wallTime)
{
    context_.setTime(now, wallTime);
    context_.log("event=instance_started instance={} zone={} incarnation={}",
                 context_.self().instance.value(), context_.settings().zone.value(),
                 context_.self().incarnation);
    configuration_.start();
    election_.start();
}

void CellInstance::handle(TimePoint now, WallTime wallTime, const CellEvent &event)
{
    setTime(now, wallTime);
    std::visit([this](const auto &body) { on(body); }, event);
}

void CellInstance::setTime(TimePoint now, WallTime wallTime)
{
    context_.setTime(now, wallTime);
    election_.noticePause();
}

std::optional<PassReport> CellInstance::runSchedulingPass(TimePoint now, WallTime wallTime)
{
    setTime(now, wallTime);
    election_.renewIfDue();
    scheduler_.setConfirmedAt(election_.confirmedAt());
    const std::optional<PassReport> report = scheduler_.onEventsHandled(election_.maySchedule());
    if (context_.now() >= nextBroadcast_)
        broadcast();
    return report;
}

bool CellInstance::isReady() const
{
    return !stopping_ && configuration_.current() && context_.storeHealth().isServing()
            && context_.now() - configuration_.confirmedAt() < configurationAgeLimit;
}

void CellInstance::on(const Tick &tick)
{
    context_.tick(tick.createdAt, tick.workersServedAt);
    scheduler_.recordEventDelay(context_.now() - tick.createdAt);
    configuration_.tick();
    confirmConfiguration();
    if (scheduler_.awaitsConfirmation())
        election_.confirmSoon();
    election_.tick();
    if (scheduler_.isJobListDue())
        jobsAndCancelsWatcher_.relistSoon();
    jobsAndCancelsWatcher_.tick();
    workerWatcher_.tick();
    callerRequests_.tick();
    expireRelayedRequests(tick.createdAt);
    if (loading_) {
        for (const std::function<void()> &retry : std::exchange(loading_->retries, {}))
            retry();
    }
    scheduler_.setEarlierRenewalsEnd(election_.earlierRenewalsEnd());
    scheduler_.setConfirmedAt(election_.confirmedAt());
    scheduler_.tick(tick.createdAt, election_.maySchedule());
    if (context_.now() >= nextHello_)
        sendHello();
}

std::optional<Address> CellInstance::relayFor(const CallerRequest &request) const
{
    const bool mayHandle
            = context_.storeHealth().isServing() && callerRequests_.isConfigurationCurrent();
    if (mayHandle || std::holds_alternative<CountPending>(request.body))
        return std::nullopt;
    return reachablePeer();
}

std::optional<Address> CellInstance::reachablePeer() const
{
    if (!election_.isHolder())
        return isHolderContactCurrent() ? holderAddress() : std::nullopt;
    for (const auto &[address, lastContactAt] : peers_) {
        if (context_.now() - lastContactAt < holderContactLimit)
            return address;
    }
    return std::nullopt;
}

void CellInstance::confirmConfiguration()
{
    if (!configurationExchange_.isRequestDue())
        return;
    if (const std::optional<Address> peer = reachablePeer())
        configurationExchange_.request(*peer);
}

void CellInstance::on(const CallerRequest &request)
{
    const std::optional<Address> relay = relayFor(request);
    if (!relay) {
        callerRequests_.handle(request);
        return;
    }
    context_.log("event=request_relayed request={} path={} to={}:{}", request.id.value(),
                 request.path, relay->host, relay->port);
    const bool isRead = std::holds_alternative<ReadJob>(request.body);
    sendRelayed(request,
                {request.id, *relay, context_.now() + relayTimeout,
                 isRead ? RelayKind::Read : RelayKind::Change});
}

void CellInstance::sendRelayed(CallerRequest request, const RelayedRequest &relayed)
{
    request.id = lastRelay_ = lastRelay_.next();
    relayed_[request.id] = relayed;
    context_.send(relayed.to, PeerCallerRequest {std::move(request)});
}

bool CellInstance::askHolder(const CallerRequest &request)
{
    const std::optional<Address> holder = holderAddress();
    if (!holder || !isHolderContactCurrent())
        return false;
    sendRelayed(request,
                {request.id, *holder, context_.now() + stateQueryTimeout, RelayKind::StateQuery});
    return true;
}

void CellInstance::onMessage(const PeerFrame &frame, const PeerCallerRequest &message)
{
    callerRequests_.handleRelayed(
            message.request,
            [this, to = frame.fromAddress, number = message.request.id](CallerAnswer answer) {
                answer.id = number;
                context_.send(to, PeerCallerAnswer {answer});
            });
}

void CellInstance::onMessage(const PeerFrame & /*frame*/, const PeerCallerAnswer &message)
{
    const auto found = relayed_.find(message.answer.id);
    if (found == relayed_.end())
        return;
    const RelayedRequest relayed = found->second;
    relayed_.erase(found);
    CallerAnswer answer = message.answer;
    answer.id = relayed.caller;
    if (relayed.kind == RelayKind::StateQuery)
        callerRequests_.onHolderAnswered(answer.id, answer);
    else
        context_.answer(answer);
}

void CellInstance::onMessage(const PeerFrame &frame, const PeerConfigurationRequest &message)
{
    configurationExchange_.onRequest(frame.fromAddress, message);
}

void CellInstance::onMessage(const PeerFrame & /*frame*/, const PeerConfigurationReply &message)
{
    configurationExchange_.onReply(message);
}

/// An unanswered relayed request may have been executed, so the outcome of a change is unknown.
void CellInstance::expireRelayedRequests(TimePoint time)
{
    for (auto relayed = relayed_.begin(); relayed != relayed_.end();) {
        if (time < relayed->second.deadline) {
            ++relayed;
            continue;
        }
        CallerAnswer answer;
        answer.id = relayed->second.caller;
        const RelayKind kind = relayed->second.kind;
        relayed = relayed_.erase(relayed);
        if (kind == RelayKind::StateQuery) {
            callerRequests_.onHolderAnswered(answer.id, std::nullopt);
            continue;
        }
        answer.outcome
                = kind == RelayKind::Change ? CallerOutcome::Unknown : CallerOutcome::NotReady;
        context_.answer(answer);
    }
}

void CellInstance::on(const StopRequested & /*stop*/)
{
    if (stopping_)
        return;
    stopping_ = true;
    context_.log("event=stop_requested holder={} open_requests={}", election_.isHolder(),
                 callerRequests_.openRequests());
    election_.stop();
}

void CellInstance::on(const PeerFrame &frame)
{
    election_.onPeerSeen(frame.from);
    std::visit([&](const auto &message) { onMessage(frame, message); }, frame.message);
}

void CellInstance::on(const PeerLost &lost)
{
    if (holderAddress() == lost.peer)
        holderContacted_ = false;
    peers_.erase(lost.peer);
    for (auto &[id, relayed] : relayed_) {
        if (relayed.to == lost.peer)
            relayed.deadline = context_.now();
    }
    scheduler_.approvalDispatcher().onPeerLost(lost.peer);
    if (lost.refused)
        election_.onPeerRefused(lost.peer);
}

void CellInstance::onMessage(const PeerFrame &frame, const PeerHello & /*hello*/)
{
    if (!peers_.contains(frame.fromAddress))
        nextLoadBroadcast_ = context_.now();
    peers_[frame.fromAddress] = context_.now();
    scheduler_.approvalDispatcher().onPeerContact(frame.fromAddress);
}

void CellInstance::onMessage(const PeerFrame & /*frame*/, const PeerJobAccepted &message)
{
    scheduler_.addNewJob(message.job);
}

void CellInstance::onMessage(const PeerFrame & /*frame*/, const PeerJobCancelled &message)
{
    scheduler_.cancelJob(message.job);
}

void CellInstance::onMessage(const PeerFrame &frame, const PeerApprovalRequest &message)
{
    context_.callApprovals(
            message.request, message.timeout,
            [this, to = frame.fromAddress, number = message.number](const ApprovalReply &reply) {
                context_.send(to, PeerApprovalReply {number, reply});
            });
}

void CellInstance::onMessage(const PeerFrame & /*frame*/, const PeerApprovalReply &message)
{
    scheduler_.approvalDispatcher().onPeerReply(message);
}

void CellInstance::onMessage(const PeerFrame &frame, const PeerStateUpdate &message)
{
    configuration_.onVersionAnnounced(message.configuration);
    election_.onHolderAnnounced({frame.from, frame.fromAddress, message.generation, Millicores()});
    const bool isContactNew = !isHolderContactCurrent() || message.generation != contactGeneration_
            || message.number != lastUpdate_.next();
    const std::optional<HolderRecord> &holder = election_.holder();
    if (!holder || holder->process != frame.from || holder->generation != message.generation)
        return;
    if (isContactNew)
        holderContact_ = holderContact_.next();
    for (const JobStateChange &change : message.changed)
        callerRequests_.recordState(change.job, change.state);
    contactGeneration_ = message.generation;
    lastUpdate_ = message.number;
    holderContacted_ = true;
    lastHolderContactAt_ = context_.now();
    if (!message.queues.empty())
        callerRequests_.updateQueueLoads(message.queues);
}

bool CellInstance::isHolderContactCurrent() const
{
    if (election_.isHolder())
        return scheduler_.isActive();
    return holderContacted_ && context_.now() - lastHolderContactAt_ < holderContactLimit;
}

std::optional<Address> CellInstance::holderAddress() const
{
    const std::optional<HolderRecord> &holder = election_.holder();
    if (!holder || holder->process == context_.self())
        return std::nullopt;
    return holder->peers;
}

void CellInstance::sendHello()
{
    nextHello_ = context_.now() + helloInterval;
    if (const std::optional<Address> holder = holderAddress())
        context_.send(*holder, PeerHello {context_.settings().peers});
}

void CellInstance::onStateChanged(const JobId &job, JobState state)
{
    callerRequests_.recordState(job, state);
    changedStates_.push_back({job, state});
}

void CellInstance::broadcast()
{
    if (!scheduler_.isActive())
        return;
    const bool areLoadsDue = context_.now() >= nextLoadBroadcast_;
    if (changedStates_.empty() && !areLoadsDue)
        return;
    nextBroadcast_ = context_.now()
            + std::max(broadcastInterval,
                       broadcastIntervalPerPeer * static_cast<std::int64_t>(peers_.size()));
    PeerStateUpdate update;
    update.generation = election_.generation();
    update.number = lastBroadcast_ = lastBroadcast_.next();
    update.configuration = configuration_.version();
    update.changed = std::exchange(changedStates_, {});
    if (areLoadsDue) {
        nextLoadBroadcast_ = context_.now() + loadBroadcastInterval;
        update.queues = scheduler_.queueLoads();
        callerRequests_.updateQueueLoads(update.queues);
    }
    std::erase_if(peers_, [&](const auto &peer) {
        return context_.now() - peer.second > peerContactLimit;
    });
    std::vector<Address> addresses;
    for (const auto &[address, lastContactAt] : peers_)
        addresses.push_back(address);
    context_.broadcast(std::move(addresses), std::move(update));
}

void CellInstance::onJobOrCancel(const StoreItem &item)
{
    const auto *job = std::get_if<AcceptedJob>(&item.value);
    const bool isCancel = item.key.type == RecordType::Cancels;
    if (!job && !isCancel) {
        context_.log("event=record_malformed name={} revision={}", item.key.name,
                     item.revision.value());
        return;
    }
    if (loading_) {
        if (job)
            loading_->jobs.push_back(*job);
        else
            loading_->cancels.emplace_back(item.key.name);
    } else if (job) {
        scheduler_.addJob(*job, {});
    } else {
        scheduler_.cancelJob(JobId(item.key.name));
    }
}

void CellInstance::onWorkerItem(const StoreItem &item)
{
    const auto *entry = std::get_if<WorkerEntry>(&item.value);
    if (!entry) {
        const auto *malformed = std::get_if<Malformed>(&item.value);
        context_.log("event=worker_entry_malformed name={} revision={} reason={}", item.key.name,
                     item.revision.value(), malformed ? malformed->reason : std::string());
        removeWorker(WorkerId(item.key.name));
        return;
    }
    if (loading_)
        loading_->workers.insert_or_assign(entry->id, *entry);
    else
        scheduler_.setWorker(*entry);
}

void CellInstance::removeWorker(const WorkerId &id)
{
    if (loading_)
        loading_->workers.erase(id);
    else
        scheduler_.removeWorker(id);
}

} // namespace caraway::cell
