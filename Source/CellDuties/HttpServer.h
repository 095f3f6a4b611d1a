#pragma once

#include "CellDuties/ClientLimits.h"
#include "CellDuties/HttpMessages.h"
#include "CellDuties/IoThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace caraway::cell {

/// Serves HTTP connections from one thread. Each request gets a number, by which it may be answered
/// later. All members but the constructor must be called on that thread.
class HttpServer
{
public:
    using Handler = std::function<void(std::uint64_t number, HttpRequest &&request)>;

    /// Listens on \a address; throws std::runtime_error when the port is in use.
    /// \a limits are shared with the other listeners of the process.
    HttpServer(IoThread &thread, const Address &address, std::shared_ptr<ClientLimits> limits,
               Handler handler);
    ~HttpServer();

    /// Answers a request; does nothing when the request was answered already.
    void answer(std::uint64_t number, const HttpReply &reply);
    /// Closes each connection after its next answer.
    void closeAfterAnswers() { closesAfterAnswers_ = true; }
    std::size_t requestsInFlight() const { return unanswered_.size(); }

private:
    class Session;
    class Sessions;

    void accept();

    Handler handler_;
    std::shared_ptr<ClientLimits> limits_;
    std::shared_ptr<Sessions> sessions_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptRetryTimer_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Session>> unanswered_;
    std::uint64_t lastNumber_ = 0;
    bool closesAfterAnswers_ = false;
};

} // namespace caraway::cell
