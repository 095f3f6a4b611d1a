#include "Soak/SoakServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace caraway::tests {

namespace {

std::string urlDecode(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

bool receiveMore(int connection, std::string &buffer)
{
    char bytes[16384];
    const ssize_t received = ::recv(connection, bytes, sizeof bytes, 0);
    if (received > 0)
        buffer.append(bytes, static_cast<std::size_t>(received));
    return received > 0;
}

void parseTarget(const std::string &target, SoakRequest &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::istringstream query(target.substr(mark + 1));
    for (std::string field; std::getline(query, field, '&');) {
        const std::size_t equals = std::min(field.find('='), field.size() - 1);
        request.query[field.substr(0, equals)] = urlDecode(field.substr(equals + 1));
    }
}

bool bindLoopback(int socket, int port)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && ::listen(socket, 256) == 0;
}

} // namespace

int findFreePort()
{
    constexpr int lowest = 20'000;
    constexpr int count = 12'000;
    static std::atomic<int> last = ::getpid() * 97;
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

SoakServer::SoakServer(Handler handler)
    : handler_(std::move(handler))
    , port_(findFreePort())
{
    listen();
}

SoakServer::~SoakServer()
{
    stopListening();
    std::unique_lock lock(mutex_);
    isClosing_ = true;
    changed_.notify_all();
    for (const int connection : connections_)
        ::shutdown(connection, SHUT_RDWR);
    changed_.wait(lock, [this] { return connections_.empty(); });
}

void SoakServer::setCut(bool isCut)
{
    const std::lock_guard lock(mutex_);
    isCut_ = isCut;
    ++epoch_;
    changed_.notify_all();
}

void SoakServer::crash()
{
    ++epoch_;
    stopListening();
    const std::lock_guard lock(mutex_);
    for (const int connection : connections_) {
        const linger reset {1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(connection, SHUT_RD);
    }
}

void SoakServer::restart()
{
    listen();
}

void SoakServer::listen()
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!bindLoopback(listener_, port_))
        throw std::runtime_error("a stand-in cannot listen on port " + std::to_string(port_));
    acceptor_ = std::thread([this, listener = listener_] { acceptConnections(listener); });
}

void SoakServer::stopListening()
{
    if (!acceptor_.joinable())
        return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
}

void SoakServer::acceptConnections(int listener)
{
    while (true) {
        const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
        const std::int64_t epoch = isCut_ ? -1 : epoch_.load();
        std::thread([this, connection, epoch] { serve(connection, epoch); }).detach();
    }
}

void SoakServer::serve(int connection, std::int64_t epoch)
{
    std::string buffer;
    bool isSilent = false;
    while (const std::optional<SoakRequest> request = read(connection, buffer)) {
        if (isSilent || epoch != epoch_)
            continue;
        const SoakResponse response = handler_(*request);
        isSilent = response.isSilent;
        if (!isSilent && !answer(connection, response, epoch != epoch_))
            break;
    }
    const std::lock_guard lock(mutex_);
    ::close(connection);
    connections_.erase(connection);
    changed_.notify_all();
}

bool SoakServer::answer(int connection, const SoakResponse &response, bool isHeldUp)
{
    if (response.isReset)
        return false;
    if (isHeldUp) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return !isCut_ || isClosing_; });
    }
    const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    const ssize_t sent = ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(text.size()) && !isHeldUp;
}

std::optional<SoakRequest> SoakServer::read(int connection, std::string &buffer)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(connection, buffer))
            return std::nullopt;
    }
    std::istringstream head(buffer.substr(0, end));
    SoakRequest request;
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
    while (buffer.size() < end + 4 + length) {
        if (!receiveMore(connection, buffer))
            return std::nullopt;
    }
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return request;
}

} // namespace caraway::tests
