#include "Duties/PeersDuty.h"

#include "Messages/PeerCodec.h"

#include <fmt/format.h>

namespace caraway {

PeersDuty::PeersDuty(EventRing &events, const ServeSettings &settings)
    : events_(events)
    , self_(settings.decisions.self)
    , outward_(static_cast<std::size_t>(settings.outwardRing))
    , endpoint_(settings.peers.host, settings.peers.port,
                {[this](const std::string &frame) { receive(frame); },
                 [this](const std::string &peer, bool up) {
                     events_.offer(PeerLinkChanged {InstanceId(peer), up});
                 }})
    , network_([this] { endpoint_.run(); })
    , sender_([this] { runSender(); })
{
}

PeersDuty::~PeersDuty()
{
    outward_.close();
    sender_.join();
    endpoint_.stop();
    network_.join();
}

void PeersDuty::runSender()
{
    while (const std::optional<Outward> next = outward_.take())
        std::visit([this](const auto &body) { carryOut(body); }, *next);
}

void PeersDuty::carryOut(const SendToPeer &message)
{
    endpoint_.send(message.peer.value(), encodePeerFrame({self_, message.message}));
}

void PeersDuty::carryOut(const ConnectPeers &connect)
{
    std::set<InstanceId> listed;
    for (const EntryMember &peer : connect.peers) {
        listed.insert(peer.id);
        endpoint_.keepConnected(peer.id.value(), peer.peers.host, peer.peers.port);
    }
    for (const InstanceId &known : connected_) {
        if (!listed.contains(known))
            endpoint_.forget(known.value());
    }
    connected_ = std::move(listed);
}

void PeersDuty::receive(const std::string &frame)
{
    const auto offer = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(decoded, decodePeerFrame(frame));
        events_.offer(PeerMessageReceived {std::move(decoded.from), std::move(decoded.message)});
        return {};
    };
    recoverFrom(offer, [](const Error &error) {
        fmt::print(stderr, "A peer's frame was refused: {}\n", error.message);
    });
}

} // namespace caraway
