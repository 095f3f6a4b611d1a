#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expectInstance;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string body = "{}";
    /// The connection is closed without an answer.
    bool isLost = false;
};

/// A free loopback port that the kernel doesn't give to outgoing connections.
int findFreePort();

/// An HTTP server on a loopback port whose process can crash.
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    int port() const { return port_; }
    /// Connections are reset, and new ones refused.
    void crash();
    void restart();

private:
    void listen();
    void stopListening();
    void acceptConnections(int listener);
    void serve(int connection);
    static bool answer(int connection, const HttpResponse &response);
    static std::optional<HttpRequest> read(int connection, std::string &buffer);

    Handler handler_;
    int port_ = 0;
    int listener_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> connections_;
};

} // namespace review
