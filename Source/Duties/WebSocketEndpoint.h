#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caraway {

/// Sends and receives binary frames over WebSocket, to named peers and from anyone.
///
/// Each side sends over the connections that it opened itself. A connection whose pings
/// are not answered is closed and opened anew. This header is read as C++17 too, which
/// websocketpp needs.
class WebSocketEndpoint
{
public:
    struct Handlers
    {
        std::function<void(std::string frame)> received;
        std::function<void(const std::string &peer, bool up)> linkChanged;
    };

    /// Listens on \a host and \a port; throws std::runtime_error when the port is taken.
    WebSocketEndpoint(const std::string &host, std::uint16_t port, Handlers handlers);
    ~WebSocketEndpoint();

    /// Serves until stop(); meant for a thread of its own.
    void run();
    void stop();

    /// Keeps a connection open to \a peer from now on.
    void keepConnected(const std::string &peer, const std::string &host, std::uint16_t port);
    void forget(const std::string &peer);
    /// Sends over the open connection to \a peer; the frame is dropped when there is none
    /// or when too much waits to be sent.
    void send(const std::string &peer, const std::string &frame);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace caraway
