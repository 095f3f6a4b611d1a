#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace caraway::tests {

struct SoakRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expectInstance;
    std::string body;
};

struct SoakResponse
{
    int status = 200;
    std::string body = "{}";
    /// The call gets no answer, and its connection nothing further.
    bool isSilent = false;
    /// The connection is closed instead of an answer.
    bool isReset = false;
};

/// A free loopback port that the kernel doesn't give to outgoing connections.
int findFreePort();

/// An HTTP server on a loopback port whose process can crash and whose network can be cut.
class SoakServer
{
public:
    using Handler = std::function<SoakResponse(const SoakRequest &)>;

    explicit SoakServer(Handler handler);
    ~SoakServer();
    SoakServer(const SoakServer &) = delete;
    SoakServer &operator=(const SoakServer &) = delete;

    int port() const { return port_; }
    /// The network between this server and its clients delivers nothing. Requests on connections
    /// that exist or are attempted now are never carried out; answers that were written before the
    /// process ended arrive after the cut.
    void setCut(bool isCut);
    bool isCut() const { return isCut_; }
    /// The process ends: the kernel resets its connections and refuses new ones.
    void crash();
    void restart();

private:
    void listen();
    void stopListening();
    void acceptConnections(int listener);
    void serve(int connection, std::int64_t epoch);
    /// Returns false if nothing further may be sent on the connection.
    bool answer(int connection, const SoakResponse &response, bool isHeldUp);
    static std::optional<SoakRequest> read(int connection, std::string &buffer);

    Handler handler_;
    int port_ = 0;
    int listener_ = -1;
    std::thread acceptor_;
    std::atomic<bool> isCut_ = false;
    /// Rises when existing connections are lost.
    std::atomic<std::int64_t> epoch_ = 1;
    bool isClosing_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> connections_;
};

} // namespace caraway::tests
