#include "CellDuties/CellPeersDuty.h"

#include "Messages/CellFrameCodec.h"

namespace caraway::cell {

namespace {

constexpr Milliseconds pingInterval {800};
/// A connection is broken when its pings were not answered for this long.
constexpr Milliseconds pongTimeout {2000};
/// A connection is closed when no frame was sent over it for this long.
constexpr Milliseconds idleTimeout {5000};
/// A connection attempt that fails within this time was refused; an attempt to an unreachable peer
/// takes longer to fail.
constexpr Milliseconds maxRefusalTime {500};
constexpr std::size_t maxQueuedFrames = 256;

} // namespace

CellPeersDuty::CellPeersDuty(CellEventRing &events, const Clock &clock,
                             const CellSettings &settings, ProcessId self)
    : events_(events)
    , clock_(clock)
    , self_(std::move(self))
    , selfAddress_(settings.peers)
    , endpoint_(settings.peers.host, settings.peers.port, makeHandlers())
    , networkThread_([this] { endpoint_.run(); })
{
}

CellPeersDuty::~CellPeersDuty()
{
    endpoint_.stop();
    networkThread_.join();
}

WebSocketEndpoint::Handlers CellPeersDuty::makeHandlers()
{
    WebSocketEndpoint::Handlers handlers;
    handlers.received = [this](const std::string &frame) { receive(frame); };
    handlers.opened = [this](std::uint64_t connection) { onOpened(connection); };
    handlers.closed = [this](std::uint64_t connection) { onClosed(connection); };
    handlers.pongReceived = [this](std::uint64_t connection, const std::string &) {
        const std::lock_guard lock(mutex_);
        Address address;
        if (Link *link = findLink(connection, address))
            link->lastPongAt = clock_.now();
    };
    handlers.tick = [this] { onTick(); };
    return handlers;
}

CellPeersDuty::Link *CellPeersDuty::findLink(std::uint64_t connection, Address &address)
{
    for (auto &[peer, link] : links_) {
        if (link.connection == connection) {
            address = peer;
            return &link;
        }
    }
    return nullptr;
}

void CellPeersDuty::offer(const PeerSend &message)
{
    const std::string frame = encodeCellFrame({self_, selfAddress_, message.message});
    const std::lock_guard lock(mutex_);
    for (const Address &to : message.to)
        send(to, frame);
}

void CellPeersDuty::send(const Address &to, const std::string &frame)
{
    const TimePoint now = clock_.now();
    const auto [found, isNew] = links_.try_emplace(to);
    Link &link = found->second;
    link.lastSentAt = now;
    if (isNew) {
        link.connection = ++lastConnection_;
        link.openedAt = now;
        endpoint_.open(link.connection, to.host, to.port);
    }
    if (link.open)
        endpoint_.send(link.connection, frame);
    else if (link.queuedFrames.size() < maxQueuedFrames)
        link.queuedFrames.push_back(frame);
}

void CellPeersDuty::onOpened(std::uint64_t connection)
{
    const std::lock_guard lock(mutex_);
    Address address;
    Link *link = findLink(connection, address);
    if (!link)
        return;
    link->open = true;
    link->lastPongAt = link->lastPingAt = clock_.now();
    for (std::string &frame : link->queuedFrames)
        endpoint_.send(connection, std::move(frame));
    link->queuedFrames.clear();
}

void CellPeersDuty::onClosed(std::uint64_t connection)
{
    PeerLost lost;
    {
        const std::lock_guard lock(mutex_);
        const Link *link = findLink(connection, lost.peer);
        if (!link)
            return;
        lost.refused = !link->open && clock_.now() - link->openedAt < maxRefusalTime;
        links_.erase(lost.peer);
    }
    events_.offer(CellEvent(std::move(lost)));
}

void CellPeersDuty::onTick()
{
    std::vector<PeerLost> lost;
    {
        const std::lock_guard lock(mutex_);
        const TimePoint now = clock_.now();
        for (auto entry = links_.begin(); entry != links_.end();) {
            Link &link = entry->second;
            const bool isBroken = link.open && now - link.lastPongAt > pongTimeout;
            if (isBroken || now - link.lastSentAt > idleTimeout) {
                endpoint_.close(link.connection);
                if (isBroken)
                    lost.push_back({entry->first, false});
                entry = links_.erase(entry);
                continue;
            }
            if (link.open && now - link.lastPingAt >= pingInterval) {
                link.lastPingAt = now;
                endpoint_.ping(link.connection, "probe");
            }
            ++entry;
        }
    }
    for (PeerLost &event : lost)
        events_.offer(CellEvent(std::move(event)));
}

void CellPeersDuty::receive(const std::string &frame)
{
    const auto offer = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(decoded, decodeCellFrame(frame));
        events_.offer(CellEvent(std::move(decoded)));
        return {};
    };
    recoverFrom(offer, [](const Error &error) {
        fmt::print(stderr, "event=peer_frame_refused reason=\"{}\"\n", error.message);
    });
}

} // namespace caraway::cell
