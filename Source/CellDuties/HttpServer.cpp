#include "CellDuties/HttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <map>
#include <stdexcept>

namespace caraway::cell {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

/// A connection is closed when no complete header arrives within this time.
constexpr std::chrono::seconds idleTimeout {20};
/// Time for the body of a request, from its header on.
constexpr std::chrono::seconds bodyTimeout {20};
constexpr std::chrono::seconds writeTimeout {5};
constexpr std::chrono::milliseconds acceptRetryDelay {50};
constexpr std::uint64_t maxBodyBytes = 1 << 20;
constexpr std::uint32_t maxHeaderBytes = 16 << 10;
/// Holds a header, so that a client that sends more than the server reads is slowed down.
constexpr std::size_t maxBufferBytes = maxHeaderBytes + (8 << 10);
/// A buffer that is larger is released between two requests.
constexpr std::size_t keptBufferBytes = 4 << 10;
/// Bodies up to this size are not counted; the number of connections bounds them.
constexpr std::size_t uncountedBodyBytes = 8 << 10;
constexpr std::int64_t memoryRetryAfterSeconds = 1;

constexpr int httpInvalid = 400;
constexpr int httpTooLarge = 413;
constexpr int httpTooManyFields = 431;
constexpr int httpUnavailable = 503;

} // namespace

/// The connections of one listener, in the order in which they last completed a request. The order
/// outlives the listener, as connections end with their thread.
class HttpServer::Sessions
{
public:
    using Key = std::uint64_t;

    Key add(Session &session)
    {
        sessions_.emplace(++lastKey_, &session);
        return lastKey_;
    }
    void remove(Key key) { sessions_.erase(key); }
    std::size_t size() const { return sessions_.size(); }
    /// Closes the connection that has been without a complete request for the longest time; false
    /// when all of them wait for answers.
    bool closeOldest();

private:
    std::map<Key, Session *> sessions_;
    Key lastKey_ = 0;
};

/// One client's connection. Pending operations and the unanswered request share its ownership.
class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(HttpServer &server, Tcp::socket socket)
        : server_(server)
        , limits_(server.limits_)
        , sessions_(server.sessions_)
        , key_(sessions_->add(*this))
        , stream_(std::move(socket))
        , buffer_(maxBufferBytes)
    {
    }
    ~Session()
    {
        release();
        sessions_->remove(key_);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        requestsAhead_ = buffer_.size() > 0 ? requestsAhead_ + 1 : 0;
        if (buffer_.size() == 0 && buffer_.capacity() > keptBufferBytes)
            buffer_.shrink_to_fit();
        parser_.emplace();
        parser_->body_limit(maxBodyBytes);
        parser_->header_limit(maxHeaderBytes);
        stream_.expires_after(idleTimeout);
        http::async_read_header(
                stream_, buffer_, *parser_,
                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                    self->onHeader(error);
                });
    }

    void answer(const HttpReply &reply)
    {
        isAwaitingAnswer_ = false;
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

    bool isAwaitingAnswer() const { return isAwaitingAnswer_; }
    /// The pending operation ends with an error, and with it the session.
    void close()
    {
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    void onHeader(boost::system::error_code error)
    {
        if (isRefused(error))
            return;
        const auto &fields = parser_->get();
        const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
        if (count > limits_->maxHeaderFields()) {
            refuse(ClientRefusal::HeaderFields, {httpTooManyFields, {}, 0});
            return;
        }
        if (const auto length = parser_->content_length(); length && !reserveUpTo(*length))
            return;
        parser_->eager(true);
        bodyDeadline_ = std::chrono::steady_clock::now() + bodyTimeout;
        if (parser_->is_done())
            onRequest();
        else
            readBody();
    }

    void readBody()
    {
        stream_.expires_at(bodyDeadline_);
        http::async_read_some(stream_, buffer_, *parser_,
                              [self = shared_from_this()](boost::system::error_code error,
                                                          std::size_t) { self->onBody(error); });
    }

    void onBody(boost::system::error_code error)
    {
        if (isRefused(error) || !reserveUpTo(parser_->get().body().size()))
            return;
        if (parser_->is_done())
            onRequest();
        else
            readBody();
    }

    /// Answers what is wrong with the request, if anything; the connection ends then.
    bool isRefused(boost::system::error_code error)
    {
        if (!error)
            return false;
        if (error == http::error::body_limit)
            refuse(ClientRefusal::BodySize, {httpTooLarge, {}, 0});
        else if (error == http::error::header_limit || error == http::error::buffer_overflow)
            refuse(ClientRefusal::HeaderSize, {httpTooLarge, {}, 0});
        else if (error == beast::error::timeout)
            limits_->count(ClientRefusal::Timeout);
        else if (error.category() == http::make_error_code(http::error::bad_method).category()
                 && error != http::error::end_of_stream && error != http::error::partial_message)
            close({httpInvalid, {}, 0});
        return true;
    }

    void refuse(ClientRefusal reason, const HttpReply &reply)
    {
        limits_->count(reason);
        close(reply);
    }

    /// Answers and closes the connection, without reading the rest of the request.
    void close(const HttpReply &reply)
    {
        keepAlive_ = false;
        answer(reply);
    }

    /// Reserves memory for a body of \a bytes; refuses the request when there is none.
    bool reserveUpTo(std::size_t bytes)
    {
        if (bytes <= std::max(reserved_, uncountedBodyBytes))
            return true;
        if (limits_->reserve(bytes - reserved_)) {
            reserved_ = bytes;
            return true;
        }
        refuse(ClientRefusal::Memory, {httpUnavailable, {}, memoryRetryAfterSeconds});
        return false;
    }

    void release() { limits_->release(std::exchange(reserved_, 0)); }

    void onRequest()
    {
        stream_.expires_never();
        sessions_->remove(key_);
        key_ = sessions_->add(*this);
        auto &message = parser_->get();
        keepAlive_ = message.keep_alive();
        if (requestsAhead_ > limits_->maxRequestsAhead()) {
            limits_->count(ClientRefusal::RequestsAhead);
            keepAlive_ = false;
        }
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        for (const auto &field : message)
            request.headers.emplace_back(field.name_string(), field.value());
        request.body = std::move(message.body());
        parser_.reset();
        const std::uint64_t number = ++server_.lastNumber_;
        isAwaitingAnswer_ = true;
        server_.unanswered_[number] = shared_from_this();
        server_.handler_(number, std::move(request));
    }

    void onWritten(boost::system::error_code error)
    {
        release();
        if (error == beast::error::timeout)
            limits_->count(ClientRefusal::Timeout);
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
    std::shared_ptr<ClientLimits> limits_;
    std::shared_ptr<Sessions> sessions_;
    Sessions::Key key_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::chrono::steady_clock::time_point bodyDeadline_;
    /// Bytes of the body that are counted.
    std::size_t reserved_ = 0;
    std::size_t requestsAhead_ = 0;
    bool keepAlive_ = true;
    bool isAwaitingAnswer_ = false;
};

bool HttpServer::Sessions::closeOldest()
{
    for (const auto &[key, session] : sessions_) {
        if (session->isAwaitingAnswer())
            continue;
        // Its pending operation ends later; it is no candidate any more until then.
        Session &oldest = *session;
        sessions_.erase(key);
        oldest.close();
        return true;
    }
    return false;
}

HttpServer::HttpServer(IoThread &thread, const Address &address,
                       std::shared_ptr<ClientLimits> limits, Handler handler)
    : handler_(std::move(handler))
    , limits_(std::move(limits))
    , sessions_(std::make_shared<Sessions>())
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
        if (sessions_->size() >= limits_->maxConnections()) {
            limits_->count(ClientRefusal::Connections);
            if (!sessions_->closeOldest()) {
                accept();
                return;
            }
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
