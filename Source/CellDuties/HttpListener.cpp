#include "CellDuties/HttpListener.h"

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

/// A connection without a whole request for this long is closed.
constexpr std::chrono::seconds idleTimeout {20};
constexpr std::chrono::seconds writeTimeout {5};
constexpr std::chrono::milliseconds acceptPause {50};
constexpr std::uint64_t maxBodyBytes = 1 << 20;
constexpr std::uint32_t maxHeaderBytes = 16 << 10;

} // namespace

/// One caller's connection. It keeps itself alive while a request is read or answered.
class HttpListener::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(HttpListener &owner, Tcp::socket socket)
        : owner_(owner)
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
        response_.keep_alive(keepAlive_ && !owner_.closing_);
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
        const std::uint64_t number = ++owner_.lastNumber_;
        owner_.waiting_[number] = shared_from_this();
        owner_.handler_(number, std::move(request));
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

    HttpListener &owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keepAlive_ = true;
};

HttpListener::HttpListener(IoThread &thread, const Address &address, Handler handler)
    : handler_(std::move(handler))
    , acceptor_(thread.context())
    , pause_(thread.context())
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

HttpListener::~HttpListener() = default;

void HttpListener::accept()
{
    acceptor_.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors, for example: others are freed meanwhile.
            pause_.expires_after(acceptPause);
            pause_.async_wait([this](boost::system::error_code stopped) {
                if (!stopped)
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

void HttpListener::answer(std::uint64_t number, const HttpReply &reply)
{
    const auto found = waiting_.find(number);
    if (found == waiting_.end())
        return;
    const std::shared_ptr<Session> session = std::move(found->second);
    waiting_.erase(found);
    session->answer(reply);
}

} // namespace caraway::cell
