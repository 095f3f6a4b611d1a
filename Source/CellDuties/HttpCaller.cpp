#include "CellDuties/HttpCaller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace caraway::cell {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxResponseBytes = 16 << 20;
/// Servers close connections that were idle for a few seconds; older ones are not used again.
constexpr Milliseconds longestIdle {3000};
constexpr std::size_t maxIdlePerAddress = 16;
/// A peer that acknowledges nothing for this long is taken for unreachable.
constexpr int userTimeoutMs = 3000;

} // namespace

/// One connection. It keeps itself alive while an operation is under way.
class HttpCaller::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(HttpCaller &owner, Address to)
        : owner_(owner)
        , to_(std::move(to))
        , stream_(owner.thread_.context())
    {
    }

    void start(HttpRequest &&request, Milliseconds timeout, Continuation next)
    {
        prepare(std::move(request));
        next_ = std::move(next);
        stream_.expires_after(std::chrono::milliseconds(timeout.count()));
        if (connected_) {
            write();
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

    /// Whether the other side has closed the connection, or sent what nobody asked for.
    bool isStale()
    {
        char byte = 0;
        const auto got
                = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
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
        ++owner_.opened_;
        boost::system::error_code ignored;
        stream_.socket().set_option(Tcp::no_delay(true), ignored);
        const int timeout = userTimeoutMs;
        ::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                     sizeof timeout);
        write();
    }

    void write()
    {
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
        bool keep = false;
        if (outcome == HttpOutcome::Answered) {
            response.status = static_cast<int>(parser_->get().result_int());
            keep = parser_->get().keep_alive();
            response.body = std::move(parser_->get().body());
        }
        // Other connections to a peer that fell silent have probably fallen silent too.
        if (outcome == HttpOutcome::Unanswered)
            owner_.idle_.erase(to_);
        stream_.expires_never();
        const Continuation next = std::exchange(next_, nullptr);
        if (keep) {
            owner_.giveBack(to_, shared_from_this());
        } else {
            boost::system::error_code ignored;
            stream_.socket().close(ignored);
        }
        next(std::move(response));
    }

    HttpCaller &owner_;
    Address to_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Continuation next_;
    bool connected_ = false;
};

HttpCaller::HttpCaller(IoThread &thread, const Clock &clock)
    : thread_(thread)
    , clock_(clock)
{
}

HttpCaller::~HttpCaller() = default;

void HttpCaller::call(const Address &to, HttpRequest request, Milliseconds timeout,
                      Continuation next)
{
    std::shared_ptr<Connection> connection = takeIdle(to);
    if (!connection)
        connection = std::make_shared<Connection>(*this, to);
    connection->start(std::move(request), timeout, std::move(next));
}

std::shared_ptr<HttpCaller::Connection> HttpCaller::takeIdle(const Address &to)
{
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return nullptr;
    std::vector<Idle> &idle = found->second;
    while (!idle.empty()) {
        const Idle last = std::move(idle.back());
        idle.pop_back();
        if (clock_.now() - last.since <= longestIdle && !last.connection->isStale())
            return last.connection;
    }
    return nullptr;
}

void HttpCaller::giveBack(const Address &to, std::shared_ptr<Connection> connection)
{
    std::vector<Idle> &idle = idle_[to];
    const TimePoint now = clock_.now();
    std::erase_if(idle, [&](const Idle &entry) { return now - entry.since > longestIdle; });
    if (idle.size() < maxIdlePerAddress)
        idle.push_back({std::move(connection), now});
}

} // namespace caraway::cell
