#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace caraway {

/// Opens numbered WebSocket connections, sends binary frames over them, and receives frames over
/// inbound connections. Its owner decides which connection to open, probe, use and close. This
/// header must also compile as C++17, which websocketpp requires.
class WebSocketEndpoint
{
public:
    /// Called on the thread of run().
    struct Handlers
    {
        std::function<void(const std::string &frame)> received;
        std::function<void(std::uint64_t connection)> opened;
        /// The connection was closed by the other side, or could not be opened.
        std::function<void(std::uint64_t connection)> closed;
        std::function<void(std::uint64_t connection, const std::string &payload)> pongReceived;
        /// Called every tickMs.
        std::function<void()> tick;
    };
    static constexpr long tickMs = 100;

    /// Listens on \a host and \a port; throws std::runtime_error if the port is in use.
    WebSocketEndpoint(const std::string &host, std::uint16_t port, Handlers handlers);
    ~WebSocketEndpoint();

    /// Serves until stop() is called; blocks the calling thread.
    void run();
    void stop();

    void open(std::uint64_t connection, const std::string &host, std::uint16_t port);
    void close(std::uint64_t connection);
    /// Sends a frame; drops it if the connection is not open or too many bytes are queued.
    void send(std::uint64_t connection, std::string frame);
    void ping(std::uint64_t connection, std::string payload);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace caraway
