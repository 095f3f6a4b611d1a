#pragma once

#include "CellDuties/CellEvents.h"
#include "Duties/WebSocketEndpoint.h"

#include <map>
#include <mutex>
#include <thread>

namespace caraway::cell {

/// Exchanges frames with the other instances. The first frame to an address opens a connection;
/// the connection is pinged at intervals, and closed when the pings remain unanswered or when no
/// frame was sent over it for some time.
class CellPeersDuty
{
public:
    CellPeersDuty(CellEventRing &events, const Clock &clock, const CellSettings &settings,
                  ProcessId self);
    ~CellPeersDuty();

    /// Sends a frame to each recipient; it is dropped when the connection cannot be opened.
    void offer(const PeerSend &message);

private:
    struct Link
    {
        std::uint64_t connection = 0;
        bool open = false;
        TimePoint openedAt;
        TimePoint lastSentAt;
        TimePoint lastPingAt;
        TimePoint lastPongAt;
        /// Frames to send when the connection is open.
        std::vector<std::string> queuedFrames;
    };

    WebSocketEndpoint::Handlers makeHandlers();
    void receive(const std::string &frame);
    /// To be called with the mutex locked.
    void send(const Address &to, const std::string &frame);
    void onOpened(std::uint64_t connection);
    void onClosed(std::uint64_t connection);
    void onTick();
    Link *findLink(std::uint64_t connection, Address &address);

    CellEventRing &events_;
    const Clock &clock_;
    ProcessId self_;
    Address selfAddress_;
    /// Guards the links, which are used by the decisions and by the network thread.
    std::mutex mutex_;
    std::uint64_t lastConnection_ = 0;
    std::map<Address, Link> links_;
    WebSocketEndpoint endpoint_;
    std::thread networkThread_;
};

} // namespace caraway::cell
