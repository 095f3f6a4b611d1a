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

/// An HTTP server whose serving threads handle complete requests only. One thread polls all
/// connections that have no complete request yet; once a request has been received, its
/// connection is passed to a serving thread through a bounded ring. Idle and slow connections
/// therefore occupy no serving thread.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(std::size_t threads);
    ~CallerServer() override;

    /// Accepts connections until stop() is called; blocks the calling thread. Returns whether
    /// the listener ended without an error.
    bool serve();
    /// Joins all threads once the requests being served are answered; stop() must be called
    /// first.
    void finish();

private:
    struct PendingConnection
    {
        TimePoint deadline;
    };

    bool process_and_close_socket(socket_t socket) override;
    void addPending(socket_t socket);
    void runPoller();
    void checkConnection(socket_t socket, bool hasHungUp);
    void closeExpired();
    void runServing();
    void serveConnection(socket_t socket);
    static void refuse(socket_t socket);

    Clock clock_;
    int epoll_;
    int wakeEvent_;
    std::mutex mutex_;
    std::map<socket_t, PendingConnection> pending_;
    Ring<socket_t> ready_;
    std::thread pollerThread_;
    std::vector<std::thread> servingThreads_;
};

} // namespace caraway
