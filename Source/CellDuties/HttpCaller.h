#pragma once

#include "CellDuties/HttpMessages.h"
#include "CellDuties/IoThread.h"
#include "Core/Clock.h"

#include <map>
#include <memory>

namespace caraway::cell {

/// Makes many HTTP calls at once from one thread, over connections that it keeps. All members
/// but the constructor run on that thread.
class HttpCaller
{
public:
    using Continuation = std::function<void(HttpResponse &&)>;

    HttpCaller(IoThread &thread, const Clock &clock);
    ~HttpCaller();

    /// Sends \a request to \a to; \a next gets the answer, or what became of the call.
    void call(const Address &to, HttpRequest request, Milliseconds timeout, Continuation next);
    std::uint64_t connectionsOpened() const { return opened_; }

private:
    class Connection;
    struct Idle
    {
        std::shared_ptr<Connection> connection;
        TimePoint since;
    };

    std::shared_ptr<Connection> takeIdle(const Address &to);
    void giveBack(const Address &to, std::shared_ptr<Connection> connection);

    IoThread &thread_;
    const Clock &clock_;
    std::map<Address, std::vector<Idle>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace caraway::cell
