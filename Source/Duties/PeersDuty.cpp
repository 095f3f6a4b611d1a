#include "Duties/PeersDuty.h"

#include "Decisions/StableHash.h"

#include <fmt/format.h>

#include <charconv>
#include <set>

namespace caraway {

namespace {

/// Whether a message is resent over a new connection. The other messages need no resending: they
/// are sent periodically with current content.
bool isReliable(const PeerMessage &message)
{
    return std::holds_alternative<HolderRequest>(message)
            || std::holds_alternative<HolderReply>(message);
}

FrameNumber readFrameNumber(const std::string &payload)
{
    std::uint64_t number = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), number);
    return FrameNumber(number);
}

} // namespace

PeersDuty::PeersDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                     MetricsDuty &metrics)
    : events_(events)
    , clock_(clock)
    , metrics_(metrics)
    , self_(settings.decisions.self)
    , incarnation_(static_cast<std::uint64_t>(Clock::wallClock().count()))
    , outgoing_(static_cast<std::size_t>(settings.outwardRingCapacity))
    , endpoint_(settings.peerEndpoint.host, settings.peerEndpoint.port, makeHandlers())
    , networkThread_([this] { endpoint_.run(); })
    , senderThread_([this] { runSender(); })
{
}

PeersDuty::~PeersDuty()
{
    outgoing_.close();
    senderThread_.join();
    endpoint_.stop();
    networkThread_.join();
}

WebSocketEndpoint::Handlers PeersDuty::makeHandlers()
{
    WebSocketEndpoint::Handlers handlers;
    handlers.received = [this](const std::string &frame) { receive(frame); };
    handlers.opened = [this](std::uint64_t number) {
        forEachLink([&](PeerLink &link) { link.onOpened(clock_.now(), ConnectionNumber(number)); });
    };
    handlers.closed = [this](std::uint64_t number) {
        forEachLink([&](PeerLink &link) { link.onEnded(clock_.now(), ConnectionNumber(number)); });
    };
    handlers.pongReceived = [this](std::uint64_t number, const std::string &payload) {
        const FrameNumber sent = readFrameNumber(payload);
        forEachLink([&](PeerLink &link) {
            link.onProbeAnswered(clock_.now(), ConnectionNumber(number), sent);
        });
    };
    handlers.tick = [this] { forEachLink([&](PeerLink &link) { link.onTick(clock_.now()); }); };
    return handlers;
}

void PeersDuty::runSender()
{
    while (const std::optional<Outgoing> next = outgoing_.take())
        std::visit([this](const auto &body) { execute(body); }, *next);
}

void PeersDuty::execute(const SendToPeer &message)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(message.peer);
    if (found == peers_.end())
        return;
    PeerLink &link = found->second.link;
    PeerFrame frame {self_, message.message, incarnation_};
    if (isReliable(message.message)) {
        frame.number = link.nextFrame();
        link.sendReliable(clock_.now(), encodePeerFrame(frame));
    } else {
        link.sendBestEffort(encodePeerFrame(frame));
    }
    executeActions(found->first, found->second);
}

void PeersDuty::execute(const ConnectPeers &connect)
{
    const std::lock_guard lock(mutex_);
    std::set<InstanceId> listed;
    for (const EntryMember &member : connect.peers) {
        listed.insert(member.id);
        addOrUpdatePeer(member.id, member.peers);
    }
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (listed.contains(peer->first)) {
            ++peer;
            continue;
        }
        peer->second.link.shutDown();
        executeActions(peer->first, peer->second);
        peer = peers_.erase(peer);
    }
}

void PeersDuty::addOrUpdatePeer(const InstanceId &id, const Endpoint &endpoint)
{
    const auto existing = peers_.find(id);
    if (existing != peers_.end()) {
        // A changed address takes effect when the next connection is opened.
        existing->second.endpoint = endpoint;
        return;
    }
    const std::uint64_t seed = stableHash(self_.value() + ">" + id.value());
    Peer newPeer {endpoint, PeerLink(clock_.now(), seed, lastConnection_)};
    Peer &peer = peers_.emplace(id, std::move(newPeer)).first->second;
    executeActions(id, peer);
}

template<class Operation>
void PeersDuty::forEachLink(const Operation &operation)
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, peer] : peers_) {
        operation(peer.link);
        executeActions(id, peer);
    }
}

void PeersDuty::executeActions(const InstanceId &id, Peer &peer)
{
    for (PeerLink::Action &action : peer.link.takeActions())
        std::visit([&](auto &body) { execute(id, peer, body); }, action);
}

void PeersDuty::execute(const InstanceId & /*id*/, const Peer &peer, PeerLink::Open &action)
{
    endpoint_.open(action.connection.value(), peer.endpoint.host, peer.endpoint.port);
}

void PeersDuty::execute(const InstanceId & /*id*/, const Peer & /*peer*/, PeerLink::Close &action)
{
    endpoint_.close(action.connection.value());
}

void PeersDuty::execute(const InstanceId & /*id*/, const Peer & /*peer*/, PeerLink::Probe &action)
{
    endpoint_.ping(action.connection.value(), std::to_string(action.sent.value()));
}

void PeersDuty::execute(const InstanceId & /*id*/, const Peer & /*peer*/, PeerLink::Send &action)
{
    metrics_.count(Metric::PeerFramesSent);
    metrics_.offer({Metric::PeerBytesSent, static_cast<double>(action.frame.size()), {}});
    endpoint_.send(action.connection.value(), std::move(action.frame));
}

void PeersDuty::execute(const InstanceId &id, const Peer & /*peer*/, PeerLink::StateChanged &action)
{
    fmt::print(stderr, "The link to {} is {}\n", id.value(), action.up ? "up" : "down");
    events_.offer(PeerLinkChanged {id, action.up});
}

void PeersDuty::receive(const std::string &frame)
{
    metrics_.count(Metric::PeerFramesReceived);
    metrics_.offer({Metric::PeerBytesReceived, static_cast<double>(frame.size()), {}});
    const auto offer = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(decoded, decodePeerFrame(frame));
        if (isNew(decoded))
            events_.offer(
                    PeerMessageReceived {std::move(decoded.from), std::move(decoded.message)});
        return {};
    };
    recoverFrom(offer, [](const Error &error) {
        fmt::print(stderr, "A malformed frame from a peer was dropped: {}\n", error.message);
    });
}

bool PeersDuty::isNew(const PeerFrame &frame)
{
    {
        const std::lock_guard lock(mutex_);
        if (!peers_.contains(frame.from))
            return false;
    }
    return deduplicators_[frame.from].isNew(frame.incarnation, frame.number);
}

} // namespace caraway
