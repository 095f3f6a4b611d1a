#include "Duties/WebSocketEndpoint.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <stdexcept>

namespace caraway {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr std::size_t maxFrameBytes = 4 << 20;
constexpr std::size_t maxWaitingBytes = 4 << 20;
constexpr long pongLimitMs = 1000;
constexpr long maintenanceIntervalMs = 400;
constexpr long connectLimitMs = 1000;

} // namespace

/// The connections. Every member runs on the thread of run(); the outer class posts to it.
class WebSocketEndpoint::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const std::string &host, std::uint16_t port, Handlers handlers)
        : handlers_(std::move(handlers))
    {
        quieten(server_);
        quieten(client_);
        server_.init_asio(&service_);
        client_.init_asio(&service_);
        server_.set_reuse_addr(true);
        server_.set_max_message_size(maxFrameBytes);
        server_.set_message_handler([this](Handle, const Server::message_ptr &message) {
            handlers_.received(message->get_payload());
        });
        client_.set_open_handshake_timeout(connectLimitMs);
        client_.set_pong_timeout(pongLimitMs);
        websocketpp::lib::error_code error;
        server_.listen(host, std::to_string(port), error);
        if (error)
            throw std::runtime_error(error.message());
        server_.start_accept();
    }

    void run()
    {
        scheduleMaintenance();
        service_.run();
    }

    template<class Work>
    void post(Work work)
    {
        boost::asio::post(service_, std::move(work));
    }

    void stop()
    {
        stopped_ = true;
        service_.stop();
    }

    void keepConnected(const std::string &peer, const std::string &uri)
    {
        Link &link = links_[peer];
        if (link.uri == uri)
            return;
        if (!link.uri.empty())
            drop(peer, link);
        link.uri = uri;
        connect(peer, link);
    }

    void forget(const std::string &peer)
    {
        const auto found = links_.find(peer);
        if (found == links_.end())
            return;
        drop(peer, found->second);
        links_.erase(found);
    }

    void send(const std::string &peer, const std::string &frame)
    {
        const auto found = links_.find(peer);
        if (found == links_.end() || !found->second.open)
            return;
        Client::connection_ptr &connection = found->second.connection;
        if (connection->get_buffered_amount() + frame.size() > maxWaitingBytes)
            return;
        connection->send(frame, websocketpp::frame::opcode::binary);
    }

private:
    struct Link
    {
        std::string uri;
        Client::connection_ptr connection;
        bool open = false;
        bool connecting = false;
    };

    template<class Endpoint>
    static void quieten(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    void connect(const std::string &peer, Link &link)
    {
        websocketpp::lib::error_code error;
        const Client::connection_ptr connection = client_.get_connection(link.uri, error);
        if (error)
            return;
        link.connection = connection;
        link.connecting = true;
        const std::weak_ptr<Implementation> weak = weak_from_this();
        connection->set_open_handler([weak, peer, raw = connection.get()](Handle) {
            if (const auto self = weak.lock())
                self->opened(peer, raw);
        });
        const auto ended = [weak, peer, raw = connection.get()](Handle) {
            if (const auto self = weak.lock())
                self->ended(peer, raw);
        };
        connection->set_fail_handler(ended);
        connection->set_close_handler(ended);
        connection->set_pong_timeout_handler(
                [weak, peer, raw = connection.get()](Handle, const std::string &) {
                    if (const auto self = weak.lock())
                        self->ended(peer, raw);
                });
        client_.connect(connection);
    }

    Link *linkOf(const std::string &peer, const Client::connection_type *connection)
    {
        const auto found = links_.find(peer);
        const bool current = found != links_.end() && found->second.connection.get() == connection;
        return current ? &found->second : nullptr;
    }

    void opened(const std::string &peer, const Client::connection_type *connection)
    {
        Link *link = linkOf(peer, connection);
        if (!link)
            return;
        link->open = true;
        link->connecting = false;
        handlers_.linkChanged(peer, true);
    }

    void ended(const std::string &peer, const Client::connection_type *connection)
    {
        if (Link *link = linkOf(peer, connection))
            drop(peer, *link);
    }

    void drop(const std::string &peer, Link &link)
    {
        const Client::connection_ptr old = std::move(link.connection);
        const bool wasOpen = link.open;
        link.connection.reset();
        link.open = false;
        link.connecting = false;
        if (old && old->get_state() == websocketpp::session::state::open) {
            websocketpp::lib::error_code error;
            old->close(websocketpp::close::status::going_away, "", error);
        }
        if (wasOpen)
            handlers_.linkChanged(peer, false);
    }

    void scheduleMaintenance()
    {
        const std::weak_ptr<Implementation> weak = weak_from_this();
        client_.set_timer(maintenanceIntervalMs, [weak](const websocketpp::lib::error_code &error) {
            const auto self = weak.lock();
            if (!self || error || self->stopped_)
                return;
            self->maintain();
            self->scheduleMaintenance();
        });
    }

    void maintain()
    {
        for (auto &[peer, link] : links_) {
            websocketpp::lib::error_code error;
            if (link.open)
                link.connection->ping("", error);
            else if (!link.connecting)
                connect(peer, link);
        }
    }

    Handlers handlers_;
    boost::asio::io_service service_;
    Server server_;
    Client client_;
    std::map<std::string, Link> links_;
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

void WebSocketEndpoint::keepConnected(const std::string &peer, const std::string &host,
                                      std::uint16_t port)
{
    std::string uri = "ws://" + host + ":" + std::to_string(port) + "/peer";
    implementation_->post([self = implementation_, peer, uri = std::move(uri)] {
        self->keepConnected(peer, uri);
    });
}

void WebSocketEndpoint::forget(const std::string &peer)
{
    implementation_->post([self = implementation_, peer] { self->forget(peer); });
}

void WebSocketEndpoint::send(const std::string &peer, const std::string &frame)
{
    implementation_->post([self = implementation_, peer, frame] { self->send(peer, frame); });
}

} // namespace caraway
