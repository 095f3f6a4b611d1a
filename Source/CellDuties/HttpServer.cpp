#include "CellDuties/HttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <stdexcept>

namespace caraway::cell {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

/// A connection is closed when no complete request arrives within this time.
constexpr std::chrono::seconds idleTimeout {20};
constexpr std::chrono::seconds writeTimeout {5};
constexpr std::chrono::milliseconds acceptRetryDelay {50};
constexpr std::uint64_t maxBodyBytes = 1 << 20;
constexpr std::uint32_t maxHeaderBytes = 16 << 10;

} // namespace

/// One client's connection. Pending operations and the unanswered request share its ownership.
class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(HttpServer &server, Tcp::socket socket)
        : server_(server)
        , stream_(std::move(socket))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxBodyBytes);
        parser_->header_limit(maxHeaderBytes);
        stream_.expires_after(idleTimeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->onRead(error);
                         });
    }

    void answer(const HttpReply &reply)
    {
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(reply.status));
        if (!reply.body.empty())
            response_.set(http::field::content_type, "application/json");
        if (reply.retryAfterSeconds > 0)
            response_.set(http::field::retry_after, std::to_string(reply.retryAfterSeconds));
        if (!reply.challenge.empty())
            response_.set(http::field::www_authenticate, reply.challenge);
        response_.keep_alive(keepAlive_ && !server_.closesAfterAnswers_);
        response_.body() = reply.body;
        response_.prepare_payload();
        stream_.expires_after(writeTimeout);
        http::async_write(stream_, response_,
                          [self = shared_from_this()](boost::system::error_code error,
                                                      std::size_t) { self->onWritten(error); });
    }

private:
    void onRead(boost::system::error_code error)
    {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            keepAlive_ = false;
            answer({413, {}, 0});
            return;
        }
        if (error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message) {
            keepAlive_ = false;
            answer({400, {}, 0});
            return;
        }
        if (error)
            return;
        stream_.expires_never();
        auto &message = parser_->get();
        keepAlive_ = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        for (const auto &field : message)
            request.headers.emplace_back(field.name_string(), field.value());
        request.body = std::move(message.body());
        const std::uint64_t number = ++server_.lastNumber_;
        server_.unanswered_[number] = shared_from_this();
        server_.handler_(number, std::move(request));
    }

    void onWritten(boost::system::error_code error)
    {
        if (error)
            return;
        if (response_.keep_alive()) {
            read();
            return;
        }
        boost::system::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }

    HttpServer &server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keepAlive_ = true;
};

HttpServer::HttpServer(IoThread &thread, const Address &address, Handler handler)
    : handler_(std::move(handler))
    , acceptor_(thread.context())
    , acceptRetryTimer_(thread.context())
{
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
    try {
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(Tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error(address.host + ":" + std::to_string(address.port) + ": "
                                 + error.what());
    }
    accept();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            // The process may have reached its limit of file descriptors; other connections may be
            // closed by the next attempt.
            acceptRetryTimer_.expires_after(acceptRetryDelay);
            acceptRetryTimer_.async_wait([this](boost::system::error_code cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<Session>(*this, std::move(socket))->read();
        accept();
    });
}

void HttpServer::answer(std::uint64_t number, const HttpReply &reply)
{
    const auto found = unanswered_.find(number);
    if (found == unanswered_.end())
        return;
    const std::shared_ptr<Session> session = std::move(found->second);
    unanswered_.erase(found);
    session->answer(reply);
}

} // namespace caraway::cell
