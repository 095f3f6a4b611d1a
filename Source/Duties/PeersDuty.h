#pragma once

#include "Duties/MetricsDuty.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/WebSocketEndpoint.h"
#include "Messages/PeerCodec.h"

#include <map>
#include <mutex>
#include <thread>

namespace caraway {

/// Exchanges messages with the other entry instances. A PeerLink per peer decides which
/// connection carries them. The links run in this duty, so that their frequent events (probes
/// and replies) do not pass through the ring of the decisions, which receives only changes
/// between up and down.
class PeersDuty
{
public:
    PeersDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
              MetricsDuty &metrics);
    ~PeersDuty();

    /// Queues a message; drops it if the ring is full, since its sender repeats it.
    void offer(SendToPeer message) { outgoing_.offer(std::move(message)); }
    void offer(ConnectPeers peers) { outgoing_.offer(std::move(peers)); }

private:
    using Outgoing = std::variant<SendToPeer, ConnectPeers>;
    struct Peer
    {
        Endpoint endpoint;
        PeerLink link;
    };

    WebSocketEndpoint::Handlers makeHandlers();
    void runSender();
    void execute(const SendToPeer &message);
    void execute(const ConnectPeers &connect);
    void addOrUpdatePeer(const InstanceId &id, const Endpoint &endpoint);
    void receive(const std::string &frame);
    bool isNew(const PeerFrame &frame);

    /// Calls \a operation with the link of each peer and executes the resulting actions.
    template<class Operation>
    void forEachLink(const Operation &operation);
    void executeActions(const InstanceId &id, Peer &peer);
    void execute(const InstanceId &id, const Peer &peer, PeerLink::Open &action);
    void execute(const InstanceId &id, const Peer &peer, PeerLink::Close &action);
    void execute(const InstanceId &id, const Peer &peer, PeerLink::Probe &action);
    void execute(const InstanceId &id, const Peer &peer, PeerLink::Send &action);
    void execute(const InstanceId &id, const Peer &peer, PeerLink::StateChanged &action);

    EventRing &events_;
    const Clock &clock_;
    MetricsDuty &metrics_;
    InstanceId self_;
    Incarnation incarnation_;
    Ring<Outgoing> outgoing_;
    /// Guards the links, which both threads access.
    std::mutex mutex_;
    ConnectionNumber lastConnection_;
    std::map<InstanceId, Peer> peers_;
    /// Accessed by the network thread only.
    std::map<InstanceId, FrameDeduplicator> deduplicators_;
    WebSocketEndpoint endpoint_;
    std::thread networkThread_;
    std::thread senderThread_;
};

} // namespace caraway
