#pragma once

#include "CellDuties/CellEvents.h"
#include "Duties/WebSocketEndpoint.h"

#include <map>
#include <mutex>
#include <thread>

namespace caraway::cell {

/// Carries frames between the instances. A connection is opened with the first frame to an
/// address and probed while it is used; one that answers no probe is closed.
class CellPeersDuty
{
public:
    CellPeersDuty(CellEventRing &events, const Clock &clock, const CellSettings &settings,
                  ProcessId self);
    ~CellPeersDuty();

    /// Sends a frame; it is dropped when the connection cannot be opened.
    void offer(const PeerSend &message);

private:
    struct Link
    {
        std::uint64_t connection = 0;
        bool open = false;
        TimePoint openedAt;
        TimePoint usedAt;
        TimePoint probedAt;
        TimePoint answeredAt;
        /// Frames that wait for the connection.
        std::vector<std::string> waiting;
    };

    WebSocketEndpoint::Handlers makeHandlers();
    void receive(const std::string &frame);
    void onOpened(std::uint64_t connection);
    void onEnded(std::uint64_t connection);
    void onTick();
    Link *findLink(std::uint64_t connection, Address &address);

    CellEventRing &events_;
    const Clock &clock_;
    ProcessId self_;
    Address selfAddress_;
    /// Guards the links, which the decisions and the network thread use.
    std::mutex mutex_;
    std::uint64_t lastConnection_ = 0;
    std::map<Address, Link> links_;
    WebSocketEndpoint endpoint_;
    std::thread network_;
};

} // namespace caraway::cell
