#include "CellDuties/AsyncHttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <vector>

namespace caraway::cell {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxResponseBytes = 16 << 20;
/// A connection that was idle for longer is not reused: servers close connections that are idle for
/// a few seconds.
constexpr Milliseconds maxIdleTime {3000};
constexpr std::size_t maxIdleConnectionsPerAddress = 16;
constexpr std::chrono::milliseconds tickInterval {50};
/// A later tick shows that the thread is late, so that responses may wait for it.
constexpr Milliseconds maxTickGap {100};
/// A thread whose ticks are this much later than their interval is overloaded.
constexpr Milliseconds latenessLimit {25};
/// TCP_USER_TIMEOUT: a connection fails when sent data stays unacknowledged for this long.
constexpr int tcpUserTimeoutMs = 3000;

} // namespace

/// One connection. Pending operations share its ownership, which keeps it alive until they finish.
class AsyncHttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(AsyncHttpClient &client, Address to)
        : client_(client)
        , to_(std::move(to))
        , stream_(client.thread_.context())
    {
    }

    void start(HttpCall &&call, std::optional<HttpIdentification> &&identification)
    {
        call_ = std::move(call);
        if (identification && identity_ != identification->expected)
            identification_ = std::move(identification);
        deadline_ = client_.addDeadline(call_.timeout, weak_from_this());
        if (isOutdated()) {
            finish(HttpOutcome::Expired);
            return;
        }
        if (connected_) {
            send();
            return;
        }
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(to_.host, error);
        if (error) {
            finish(HttpOutcome::NotSent);
            return;
        }
        stream_.async_connect(Tcp::endpoint(address, to_.port),
                              [self = shared_from_this()](boost::system::error_code failure) {
                                  self->onConnected(failure);
                              });
    }

    /// Fails the pending operation.
    void expire()
    {
        deadline_.reset();
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

    const std::optional<ServerIdentity> &identity() const { return identity_; }
    /// Whether the server has closed the connection or sent unsolicited data.
    bool isStale()
    {
        char byte = 0;
        const auto received
                = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    void prepare(HttpRequest &&request)
    {
        request_ = {};
        request_.version(11);
        request_.method_string(request.method);
        request_.target(request.target);
        request_.set(http::field::host, request.host);
        for (const auto &[name, value] : request.headers)
            request_.set(name, value);
        if (!request.body.empty())
            request_.set(http::field::content_type, "application/json");
        request_.body() = std::move(request.body);
        request_.prepare_payload();
    }

    void onConnected(boost::system::error_code error)
    {
        if (error) {
            finish(HttpOutcome::NotSent);
            return;
        }
        connected_ = true;
        ++client_.connectionsOpened_;
        boost::system::error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
        const int timeout = tcpUserTimeoutMs;
        ::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                     sizeof timeout);
        send();
    }

    bool isOutdated() const { return call_.notAfter && client_.clock_.now() > *call_.notAfter; }

    void send()
    {
        if (identification_) {
            write(identification_->request());
            return;
        }
        if (isOutdated())
            finish(client_.isLate_ ? HttpOutcome::Expired : HttpOutcome::NotSent);
        else
            write(std::move(call_.request));
    }

    void write(HttpRequest &&request)
    {
        prepare(std::move(request));
        http::async_write(
                stream_, request_,
                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                    if (error)
                        self->finish(HttpOutcome::Unanswered);
                    else
                        self->read();
                });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxResponseBytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->finish(error ? HttpOutcome::Unanswered : HttpOutcome::Answered);
                         });
    }

    void finish(HttpOutcome outcome)
    {
        HttpResponse response;
        response.outcome = outcome;
        bool keepAlive = false;
        if (outcome == HttpOutcome::Expired)
            keepAlive = connected_;
        if (outcome == HttpOutcome::Answered) {
            response.status = static_cast<int>(parser_->get().result_int());
            keepAlive = parser_->get().keep_alive();
            response.body = std::move(parser_->get().body());
        }
        // The other idle connections to a server that did not answer are probably broken too.
        if (outcome == HttpOutcome::Unanswered)
            client_.idle_.erase(to_);
        if (identification_ && outcome != HttpOutcome::Expired) {
            finishIdentification(std::move(response), keepAlive);
            return;
        }
        identification_.reset();
        const HttpCall::Handler handler = std::exchange(call_.handler, nullptr);
        if (const std::optional<ServerIdentity> identity = handler(std::move(response)))
            identity_ = identity;
        release(keepAlive);
    }

    void finishIdentification(HttpResponse &&response, bool keepAlive)
    {
        const HttpIdentification identification = *std::exchange(identification_, std::nullopt);
        identity_ = identification.handler(std::move(response));
        if (identity_)
            client_.dropIdleOfOthers(to_, *identity_);
        if (identity_ != identification.expected) {
            call_ = {};
            release(keepAlive);
        } else if (keepAlive) {
            send();
        } else {
            finish(HttpOutcome::NotSent);
        }
    }

    void release(bool keepAlive)
    {
        const bool isExpired = !deadline_;
        if (deadline_)
            client_.deadlines_.erase(*std::exchange(deadline_, std::nullopt));
        if (keepAlive && !isExpired) {
            client_.returnIdle(to_, shared_from_this());
            return;
        }
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

    AsyncHttpClient &client_;
    Address to_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    HttpCall call_;
    /// Set until the server has identified itself, if the call needs it.
    std::optional<HttpIdentification> identification_;
    std::optional<ServerIdentity> identity_;
    bool connected_ = false;
    /// Set while a call is in flight and has not expired.
    std::optional<Deadlines::iterator> deadline_;
};

AsyncHttpClient::AsyncHttpClient(IoThread &thread, const Clock &clock)
    : thread_(thread)
    , clock_(clock)
    , timer_(thread.context())
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

AsyncHttpClient::Deadlines::iterator
AsyncHttpClient::addDeadline(Milliseconds timeout, std::weak_ptr<Connection> connection)
{
    if (!isTickScheduled_) {
        lastTick_ = clock_.now();
        scheduleTick();
    }
    return deadlines_.emplace(activeTime_ + timeout, std::move(connection));
}

void AsyncHttpClient::scheduleTick()
{
    isTickScheduled_ = true;
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void AsyncHttpClient::tick()
{
    isTickScheduled_ = false;
    const TimePoint now = clock_.now();
    const Milliseconds gap = now - std::exchange(lastTick_, now);
    isLate_ = gap >= Milliseconds(tickInterval.count()) + latenessLimit;
    activeTime_ += std::min(gap, maxTickGap);
    while (!deadlines_.empty() && deadlines_.begin()->first <= activeTime_) {
        const std::shared_ptr<Connection> expired = deadlines_.begin()->second.lock();
        deadlines_.erase(deadlines_.begin());
        if (expired)
            expired->expire();
    }
    if (!deadlines_.empty())
        scheduleTick();
}

void AsyncHttpClient::call(const Address &to, HttpRequest request, Milliseconds timeout,
                           ResponseHandler handler)
{
    call(to,
         HttpCall {std::move(request), timeout, std::nullopt,
                   [handler = std::move(handler)](
                           HttpResponse &&response) -> std::optional<ServerIdentity> {
                       handler(std::move(response));
                       return std::nullopt;
                   }});
}

void AsyncHttpClient::call(const Address &to, HttpCall call,
                           std::optional<HttpIdentification> identification)
{
    std::shared_ptr<Connection> connection
            = takeIdle(to, identification ? std::optional(identification->expected) : std::nullopt);
    if (!connection)
        connection = std::make_shared<Connection>(*this, to);
    connection->start(std::move(call), std::move(identification));
}

std::shared_ptr<AsyncHttpClient::Connection>
AsyncHttpClient::takeIdle(const Address &to, std::optional<ServerIdentity> expected)
{
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return nullptr;
    std::vector<IdleConnection> &idle = found->second;
    for (std::size_t i = idle.size(); i > 0; --i) {
        if (expected && idle[i - 1].connection->identity() != expected)
            continue;
        const IdleConnection last = std::move(idle[i - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (clock_.now() - last.idleSince <= maxIdleTime && !last.connection->isStale())
            return last.connection;
    }
    return nullptr;
}

void AsyncHttpClient::dropIdleOfOthers(const Address &to, ServerIdentity present)
{
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return;
    std::erase_if(found->second, [&](const IdleConnection &entry) {
        const std::optional<ServerIdentity> &identity = entry.connection->identity();
        return identity && identity != present;
    });
}

void AsyncHttpClient::returnIdle(const Address &to, std::shared_ptr<Connection> connection)
{
    std::vector<IdleConnection> &idle = idle_[to];
    const TimePoint now = clock_.now();
    std::erase_if(idle,
                  [&](const IdleConnection &entry) { return now - entry.idleSince > maxIdleTime; });
    if (idle.size() < maxIdleConnectionsPerAddress)
        idle.push_back({std::move(connection), now});
}

} // namespace caraway::cell
