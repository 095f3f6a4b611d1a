#pragma once

#include "CellDuties/HttpMessages.h"
#include "CellDuties/IoThread.h"
#include "Core/Clock.h"
#include "Core/Ids.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace caraway::cell {

/// The server process at the other end of a connection, as it has identified itself. Processes at
/// one address have different identities.
using ServerIdentity = NumberId<struct ServerIdentityTag>;

/// A request to one server and the conditions of sending it.
struct HttpCall
{
    using Handler = std::function<std::optional<ServerIdentity>(HttpResponse &&)>;

    HttpRequest request;
    /// For the connection, its identification and the response together. Time in which the thread
    /// is late with its work counts in part only.
    Milliseconds timeout;
    /// The request is not sent after this time; nothing when it may always be sent.
    std::optional<TimePoint> notAfter;
    /// Called with the response or the failure. Returns the identity that the response contains;
    /// nothing when it contains none.
    Handler handler;
};

/// Restricts a call to connections to one server process. A connection that has not been identified
/// carries a request of its own first.
struct HttpIdentification
{
    ServerIdentity expected;
    /// Returns the request by which the server identifies itself, and which changes nothing there.
    std::function<HttpRequest()> request;
    /// Called with the response to that request, or with the failure. The call itself is sent if
    /// this returns the expected identity. Otherwise its handler is not called.
    HttpCall::Handler handler;
};

/// Makes concurrent HTTP calls from one thread over pooled connections. All members but the
/// constructor must be called on that thread.
class AsyncHttpClient
{
public:
    using ResponseHandler = std::function<void(HttpResponse &&)>;

    AsyncHttpClient(IoThread &thread, const Clock &clock);
    ~AsyncHttpClient();

    /// Sends \a request to \a to and calls \a handler with the response or the failure.
    void call(const Address &to, HttpRequest request, Milliseconds timeout,
              ResponseHandler handler);
    /// Sends \a call to \a to, on a connection to the expected process if there is an
    /// \a identification.
    void call(const Address &to, HttpCall call,
              std::optional<HttpIdentification> identification = std::nullopt);
    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

private:
    class Connection;
    /// The connections with a call in flight, by the active time at which it expires.
    using Deadlines = std::multimap<Milliseconds, std::weak_ptr<Connection>>;
    struct IdleConnection
    {
        std::shared_ptr<Connection> connection;
        TimePoint idleSince;
    };

    /// Returns an idle connection to the \a expected process, or to any when there is none.
    std::shared_ptr<Connection> takeIdle(const Address &to, std::optional<ServerIdentity> expected);
    /// Closes the idle connections to processes that ran at the address before \a present.
    void dropIdleOfOthers(const Address &to, ServerIdentity present);
    void returnIdle(const Address &to, std::shared_ptr<Connection> connection);

    Deadlines::iterator addDeadline(Milliseconds timeout, std::weak_ptr<Connection> connection);
    void scheduleTick();
    /// Ends the calls whose time is over.
    void tick();

    IoThread &thread_;
    const Clock &clock_;
    boost::asio::steady_timer timer_;
    bool isTickScheduled_ = false;
    TimePoint lastTick_;
    /// Whether the thread was late at the last tick, so that calls may have waited for it.
    bool isLate_ = false;
    /// The time that has passed while the thread was on time.
    Milliseconds activeTime_;
    Deadlines deadlines_;
    std::map<Address, std::vector<IdleConnection>> idle_;
    std::uint64_t connectionsOpened_ = 0;
};

} // namespace caraway::cell
