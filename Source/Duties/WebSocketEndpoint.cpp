#include "Duties/WebSocketEndpoint.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <stdexcept>
#include <vector>

namespace caraway {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr std::size_t maxFrameBytes = 4 << 20;
/// Maximum number of bytes queued for sending over one connection.
constexpr std::size_t maxQueuedBytes = 4 << 20;
/// Maximum number of bytes, over all connections, that are posted to the thread of run() and not
/// yet handled.
constexpr std::size_t maxPostedBytes = 16 << 20;
constexpr long openTimeoutMs = 1000;
constexpr long closeTimeoutMs = 500;
constexpr std::size_t maxInboundConnections = 256;
/// Ticks without a probe after which an inbound connection is closed; a peer probes far more
/// often.
constexpr long maxTicksWithoutProbe = 100;

} // namespace

/// Manages the connections. The member functions run on the thread of run(), to which the outer
/// class posts them.
class WebSocketEndpoint::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const std::string &host, std::uint16_t port, Handlers handlers)
        : handlers_(std::move(handlers))
    {
        disableLogging(server_);
        disableLogging(client_);
        server_.init_asio(&service_);
        client_.init_asio(&service_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(maxFrameBytes);
        server_.set_open_handshake_timeout(openTimeoutMs);
        server_.set_close_handshake_timeout(closeTimeoutMs);
        client_.set_open_handshake_timeout(openTimeoutMs);
        client_.set_close_handshake_timeout(closeTimeoutMs);
        client_.set_max_message_size(maxFrameBytes);
        setServerHandlers();
        websocketpp::lib::error_code error;
        server_.listen(host, std::to_string(port), error);
        if (error)
            throw std::runtime_error(error.message());
        server_.start_accept();
    }

    void run()
    {
        scheduleTick();
        service_.run();
    }

    template<class Task>
    void post(Task task)
    {
        boost::asio::post(service_, std::move(task));
    }

    void stop()
    {
        stopped_ = true;
        service_.stop();
    }

    void open(std::uint64_t number, const std::string &uri)
    {
        websocketpp::lib::error_code error;
        const Client::connection_ptr connection = client_.get_connection(uri, error);
        if (error) {
            handlers_.closed(number);
            return;
        }
        connections_[number] = connection;
        const std::weak_ptr<Implementation> weak = weak_from_this();
        connection->set_open_handler([weak, number](Handle) {
            if (const auto self = weak.lock())
                self->handlers_.opened(number);
        });
        const auto closed = [weak, number](Handle) {
            if (const auto self = weak.lock())
                self->onClosed(number);
        };
        connection->set_fail_handler(closed);
        connection->set_close_handler(closed);
        connection->set_pong_handler([weak, number](Handle, const std::string &payload) {
            if (const auto self = weak.lock())
                self->handlers_.pongReceived(number, payload);
        });
        client_.connect(connection);
    }

    void close(std::uint64_t number)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            return;
        const Client::connection_ptr connection = std::move(found->second);
        connections_.erase(found);
        websocketpp::lib::error_code error;
        connection->close(websocketpp::close::status::going_away, "", error);
    }

    void send(std::uint64_t number, const std::string &frame)
    {
        const auto found = connections_.find(number);
        if (found == connections_.end())
            return;
        const Client::connection_ptr &connection = found->second;
        if (connection->get_buffered_amount() + frame.size() <= maxQueuedBytes)
            connection->send(frame, websocketpp::frame::opcode::binary);
    }

    void ping(std::uint64_t number, const std::string &payload)
    {
        const auto found = connections_.find(number);
        websocketpp::lib::error_code error;
        if (found != connections_.end())
            found->second->ping(payload, error);
    }

    /// Bytes posted to the thread of run() and not yet handled by it.
    std::atomic<std::size_t> postedBytes = 0;

private:
    template<class Endpoint>
    static void disableLogging(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    void setServerHandlers()
    {
        server_.set_message_handler([this](Handle, const Server::message_ptr &message) {
            handlers_.received(message->get_payload());
        });
        server_.set_validate_handler(
                [this](Handle) { return inbound_.size() < maxInboundConnections; });
        server_.set_open_handler([this](Handle handle) { inbound_[handle] = ticks_; });
        server_.set_close_handler([this](Handle handle) { inbound_.erase(handle); });
        server_.set_ping_handler([this](Handle handle, const std::string &) {
            inbound_[handle] = ticks_;
            return true;
        });
    }

    void onClosed(std::uint64_t number)
    {
        if (connections_.erase(number) > 0)
            handlers_.closed(number);
    }

    void scheduleTick()
    {
        const std::weak_ptr<Implementation> weak = weak_from_this();
        client_.set_timer(tickMs, [weak](const websocketpp::lib::error_code &error) {
            const auto self = weak.lock();
            if (!self || error || self->stopped_)
                return;
            ++self->ticks_;
            self->closeInactive();
            self->handlers_.tick();
            self->scheduleTick();
        });
    }

    /// Closes inbound connections that their peers no longer probe and therefore no longer use.
    void closeInactive()
    {
        std::vector<Handle> inactive;
        for (const auto &[handle, probedAt] : inbound_) {
            if (ticks_ - probedAt > maxTicksWithoutProbe)
                inactive.push_back(handle);
        }
        for (const Handle &handle : inactive) {
            websocketpp::lib::error_code error;
            inbound_.erase(handle);
            server_.close(handle, websocketpp::close::status::going_away, "", error);
        }
    }

    Handlers handlers_;
    boost::asio::io_service service_;
    Server server_;
    Client client_;
    std::map<std::uint64_t, Client::connection_ptr> connections_;
    std::map<Handle, long, std::owner_less<Handle>> inbound_;
    long ticks_ = 0;
    bool stopped_ = false;
};

WebSocketEndpoint::WebSocketEndpoint(const std::string &host, std::uint16_t port, Handlers handlers)
    : implementation_(std::make_shared<Implementation>(host, port, std::move(handlers)))
{
}

WebSocketEndpoint::~WebSocketEndpoint() = default;

void WebSocketEndpoint::run()
{
    implementation_->run();
}

void WebSocketEndpoint::stop()
{
    implementation_->post([self = implementation_] { self->stop(); });
}

void WebSocketEndpoint::open(std::uint64_t connection, const std::string &host, std::uint16_t port)
{
    std::string uri = "ws://" + host + ":" + std::to_string(port) + "/peer";
    implementation_->post([self = implementation_, connection, uri = std::move(uri)] {
        self->open(connection, uri);
    });
}

void WebSocketEndpoint::close(std::uint64_t connection)
{
    implementation_->post([self = implementation_, connection] { self->close(connection); });
}

void WebSocketEndpoint::send(std::uint64_t connection, std::string frame)
{
    const std::size_t size = frame.size();
    if (implementation_->postedBytes + size > maxPostedBytes)
        return;
    implementation_->postedBytes += size;
    implementation_->post([self = implementation_, connection, size, frame = std::move(frame)] {
        self->postedBytes -= size;
        self->send(connection, frame);
    });
}

void WebSocketEndpoint::ping(std::uint64_t connection, std::string payload)
{
    implementation_->post([self = implementation_, connection, payload = std::move(payload)] {
        self->ping(connection, payload);
    });
}

} // namespace caraway
