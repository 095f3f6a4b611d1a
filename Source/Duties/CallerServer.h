#pragma once

#include "Core/Clock.h"
#include "Core/Ring.h"
#include "Duties/CallerStream.h"

#include <httplib.h>

#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace caraway {

/// An HTTP server whose threads are held by whole requests only. A connection waits in one
/// thread, with all others, until a request has come in; then it goes to a serving thread
/// through a bounded ring. So connections that are silent or slow hold no serving thread.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(std::size_t threads);
    ~CallerServer() override;

    /// Accepts connections until stop(); meant for a thread of its own.
    bool serve();
    /// Ends every thread once the requests in hand are answered; stop() goes first.
    void finish();

private:
    struct Parked
    {
        TimePoint until;
    };

    bool process_and_close_socket(socket_t socket) override;
    void park(socket_t socket);
    void runParking();
    void inspect(socket_t socket, bool hasEnded);
    void closeOverdue();
    void runServing();
    void serveConnection(socket_t socket);
    static void refuse(socket_t socket);

    Clock clock_;
    int poller_;
    int wake_;
    std::mutex mutex_;
    std::map<socket_t, Parked> parked_;
    Ring<socket_t> ready_;
    std::thread parking_;
    std::vector<std::thread> serving_;
};

} // namespace caraway
