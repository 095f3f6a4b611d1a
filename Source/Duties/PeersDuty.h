#pragma once

#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/WebSocketEndpoint.h"

#include <set>
#include <thread>

namespace caraway {

/// Carries messages between the entry instances.
class PeersDuty
{
public:
    PeersDuty(EventRing &events, const ServeSettings &settings);
    ~PeersDuty();

    /// Queues a message; dropped when too many wait, for its sender says it again.
    void offer(SendToPeer message) { outward_.offer(std::move(message)); }
    void offer(ConnectPeers peers) { outward_.offer(std::move(peers)); }

private:
    using Outward = std::variant<SendToPeer, ConnectPeers>;

    void runSender();
    void carryOut(const SendToPeer &message);
    void carryOut(const ConnectPeers &connect);
    void receive(const std::string &frame);

    EventRing &events_;
    InstanceId self_;
    Ring<Outward> outward_;
    std::set<InstanceId> connected_;
    WebSocketEndpoint endpoint_;
    std::thread network_;
    std::thread sender_;
};

} // namespace caraway
