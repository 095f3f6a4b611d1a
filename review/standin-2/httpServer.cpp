#include "httpServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int backlog = 256;
constexpr std::size_t bufferBytes = 16384;

bool bindLoopback(int socket, int port)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && ::listen(socket, backlog) == 0;
}

bool receiveMore(int connection, std::string &buffer)
{
    char bytes[bufferBytes];
    const ssize_t received = ::recv(connection, bytes, sizeof bytes, 0);
    if (received > 0)
        buffer.append(bytes, static_cast<std::size_t>(received));
    return received > 0;
}

void parseTarget(const std::string &target, HttpRequest &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    // The keys of the project's records need no escapes.
    std::istringstream query(target.substr(mark + 1));
    for (std::string field; std::getline(query, field, '&');) {
        const std::size_t equals = std::min(field.find('='), field.size() - 1);
        request.query[field.substr(0, equals)] = field.substr(equals + 1);
    }
}

} // namespace

int findFreePort()
{
    constexpr int lowest = 20'000;
    constexpr int count = 12'000;
    constexpr int spread = 97;
    static std::atomic<int> last = ::getpid() * spread;
    for (int attempt = 0; attempt < count; ++attempt) {
        const int port = lowest + ++last % count;
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isFree = bindLoopback(probe, port);
        ::close(probe);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no loopback port is free");
}

HttpServer::HttpServer(Handler handler)
    : handler_(std::move(handler))
    , port_(findFreePort())
{
    listen();
}

HttpServer::~HttpServer()
{
    stopListening();
    std::unique_lock lock(mutex_);
    for (const int connection : connections_)
        ::shutdown(connection, SHUT_RDWR);
    changed_.wait(lock, [this] { return connections_.empty(); });
}

void HttpServer::crash()
{
    stopListening();
    const std::lock_guard lock(mutex_);
    for (const int connection : connections_) {
        const linger reset {1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(connection, SHUT_RD);
    }
}

void HttpServer::restart()
{
    listen();
}

void HttpServer::listen()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!bindLoopback(listener_, port_))
        throw std::runtime_error("a stand-in cannot listen on port " + std::to_string(port_));
    acceptor_ = std::thread([this, listener = listener_] { acceptConnections(listener); });
}

void HttpServer::stopListening()
{
    if (!acceptor_.joinable())
        return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
}

void HttpServer::acceptConnections(int listener)
{
    while (true) {
        const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
        std::thread([this, connection] { serve(connection); }).detach();
    }
}

void HttpServer::serve(int connection)
{
    std::string buffer;
    while (const std::optional<HttpRequest> request = read(connection, buffer)) {
        if (!answer(connection, handler_(*request)))
            break;
    }
    const std::lock_guard lock(mutex_);
    ::close(connection);
    connections_.erase(connection);
    changed_.notify_all();
}

bool HttpServer::answer(int connection, const HttpResponse &response)
{
    if (response.isLost)
        return false;
    const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    const ssize_t sent = ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(text.size());
}

std::optional<HttpRequest> HttpServer::read(int connection, std::string &buffer)
{
    const std::string headEnd = "\r\n\r\n";
    std::size_t end = 0;
    while ((end = buffer.find(headEnd)) == std::string::npos) {
        if (!receiveMore(connection, buffer))
            return std::nullopt;
    }
    std::istringstream head(buffer.substr(0, end));
    HttpRequest request;
    std::string target;
    std::string line;
    std::getline(head, line);
    std::istringstream(line) >> request.method >> target;
    parseTarget(target, request);
    std::size_t length = 0;
    while (std::getline(head, line)) {
        std::string name = line.substr(0, line.find(':'));
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        std::string value = line.substr(std::min(line.size(), name.size() + 1));
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        if (name == "content-length")
            length = std::stoul(value);
        if (name == "expect-instance")
            request.expectInstance = value;
    }
    const std::size_t total = end + headEnd.size() + length;
    while (buffer.size() < total) {
        if (!receiveMore(connection, buffer))
            return std::nullopt;
    }
    request.body = buffer.substr(end + headEnd.size(), length);
    buffer.erase(0, total);
    return request;
}

} // namespace review
