#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace caraway::standins {

/// A TCP proxy that injects faults. POST /links opens a link (name, listen, to_port);
/// POST /faults sets the faults of a link, or of all links below "name/" (name, delay_ms, cut,
/// hold_forward, hold_back, silence_open, lose_answers). GET /links shows the most connections
/// each had open.
class ProxyStandin
{
public:
    /// Serves its controls on \a port of the loopback address until the process ends.
    int serve(int port);

private:
    struct Link
    {
        std::string name;
        int toPort = 0;
        int listener = -1;
        std::atomic<std::int64_t> delayMs = 0;
        /// Open connections are closed and new ones refused.
        std::atomic<bool> cut = false;
        /// Connections numbered up to this one are silent for good; new ones work.
        std::atomic<std::int64_t> silentUpTo = 0;
        std::atomic<std::int64_t> lastConnection = 0;
        /// Bytes towards the server, or back, silently go nowhere.
        std::atomic<bool> holdForward = false;
        std::atomic<bool> holdBack = false;
        /// So many answers are dropped, and their connections closed.
        std::atomic<std::int64_t> answersToLose = 0;
        std::mutex mutex;
        std::list<int> sockets;
        std::size_t mostConnections = 0;
    };

    void openLink(const nlohmann::json &order);
    void setFaults(const nlohmann::json &order);
    static void acceptLoop(Link &link);
    static void pump(Link &link, std::int64_t connection, int from, int to,
                     const std::atomic<bool> &hold, bool isAnswer);
    nlohmann::json describeLinks();

    httplib::Server server_;
    std::mutex mutex_;
    std::list<Link> links_;
};

} // namespace caraway::standins
