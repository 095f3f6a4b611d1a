#pragma once

#include "CellDuties/HttpMessages.h"
#include "CellDuties/IoThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace caraway::cell {

/// Serves HTTP connections from one thread. Each request gets a number; its answer may be given
/// later. All members but the constructor run on that thread.
class HttpListener
{
public:
    using Handler = std::function<void(std::uint64_t number, HttpRequest &&request)>;

    /// Listens on \a address; throws std::runtime_error when the port is taken.
    HttpListener(IoThread &thread, const Address &address, Handler handler);
    ~HttpListener();

    void answer(std::uint64_t number, const HttpReply &reply);
    /// Closes each connection after its next answer.
    void closeAfterAnswers() { closing_ = true; }
    std::size_t requestsUnderWay() const { return waiting_.size(); }

private:
    class Session;

    void accept();

    Handler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Session>> waiting_;
    std::uint64_t lastNumber_ = 0;
    bool closing_ = false;
};

} // namespace caraway::cell
