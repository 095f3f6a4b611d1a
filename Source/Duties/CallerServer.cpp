#include "Duties/CallerServer.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace caraway {

namespace {

/// Connections that may wait for a request to come in; the oldest gives way to a new one.
constexpr std::size_t maxParked = 512;
/// Whole requests that may wait for a serving thread.
constexpr std::size_t maxReady = 256;
/// How long a connection may take to bring a whole request, or may idle between two.
constexpr Milliseconds parkingLimit(5000);
constexpr int listenBacklog = 512;
constexpr int overdueCheckMs = 250;
constexpr std::size_t maxHeadBytes = 16'384;
/// A request of more bytes is served while it still comes in: socket buffers are small.
constexpr std::size_t maxParkedBytes = 32'768;
constexpr std::size_t drainBytes = 65'536;

constexpr std::string_view refusal
        = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
          "Retry-After: 1\r\nConnection: close\r\nContent-Length: 115\r\n\r\n"
          R"({"error":{"kind":"unavailable","message":"Too many requests wait here and this one )"
          R"(did not run. Try again later."}})";

/// Hands accepted connections on in the accepting thread itself.
class PassingQueue : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override { }
};

std::size_t contentLength(std::string_view head)
{
    constexpr std::string_view name = "\r\ncontent-length:";
    const auto isSame
            = [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; };
    const auto found = std::search(head.begin(), head.end(), name.begin(), name.end(), isSame);
    if (found == head.end())
        return 0;
    std::string_view value = head.substr(static_cast<std::size_t>(found - head.begin()));
    value.remove_prefix(name.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::size_t length = 0;
    std::from_chars(value.data(), value.data() + value.size(), length);
    return length;
}

enum class Arrival { Partial, Whole, Ended };

/// Whether a request has come in as far as the socket's buffer can hold it.
Arrival arrivalOn(socket_t socket)
{
    std::array<char, maxHeadBytes> bytes {};
    const ssize_t count = recv(socket, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (count == 0)
        return Arrival::Ended;
    if (count < 0)
        return errno == EAGAIN || errno == EINTR ? Arrival::Partial : Arrival::Ended;
    const std::string_view text(bytes.data(), static_cast<std::size_t>(count));
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == std::string_view::npos)
        return text.size() == bytes.size() ? Arrival::Whole : Arrival::Partial;
    const std::size_t body = std::min(contentLength(text.substr(0, headEnd + 2)), maxParkedBytes);
    int waiting = 0;
    ioctl(socket, FIONREAD, &waiting);
    const std::size_t awaited = std::min(headEnd + 4 + body, maxParkedBytes);
    return static_cast<std::size_t>(waiting) >= awaited ? Arrival::Whole : Arrival::Partial;
}

} // namespace

CallerServer::CallerServer(std::size_t threads)
    : poller_(epoll_create1(EPOLL_CLOEXEC))
    , wake_(eventfd(0, EFD_CLOEXEC))
    , ready_(maxReady)
{
    new_task_queue = [] { return new PassingQueue; };
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = wake_;
    epoll_ctl(poller_, EPOLL_CTL_ADD, wake_, &event);
    parking_ = std::thread([this] { runParking(); });
    for (std::size_t i = 0; i < threads; ++i)
        serving_.emplace_back([this] { runServing(); });
}

CallerServer::~CallerServer()
{
    finish();
    close(wake_);
    close(poller_);
}

bool CallerServer::serve()
{
    // The library's own backlog of 5 drops bursts of connections, which then wait a second.
    ::listen(svr_sock_, listenBacklog);
    return listen_after_bind();
}

void CallerServer::finish()
{
    if (!parking_.joinable())
        return;
    const std::uint64_t one = 1;
    if (write(wake_, &one, sizeof one) < 0)
        std::abort();
    parking_.join();
    ready_.close();
    for (std::thread &thread : serving_)
        thread.join();
    for (const auto &[socket, parked] : parked_)
        close(socket);
    parked_.clear();
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    park(socket);
    return true;
}

void CallerServer::park(socket_t socket)
{
    const std::lock_guard lock(mutex_);
    if (parked_.size() >= maxParked) {
        const auto until = [](const auto &entry) { return entry.second.until; };
        const auto oldest = std::ranges::min_element(parked_, {}, until);
        close(oldest->first);
        parked_.erase(oldest);
    }
    parked_[socket] = {clock_.now() + parkingLimit};
    epoll_event event {};
    // Edge-triggered: part of a request wakes the thread once, not until the rest is there.
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
    event.data.fd = socket;
    epoll_ctl(poller_, EPOLL_CTL_ADD, socket, &event);
}

void CallerServer::runParking()
{
    constexpr int maxEvents = 64;
    std::array<epoll_event, maxEvents> events {};
    for (;;) {
        const int count = epoll_wait(poller_, events.data(), maxEvents, overdueCheckMs);
        for (int i = 0; i < count; ++i) {
            if (events[i].data.fd == wake_)
                return;
            inspect(events[i].data.fd, events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR));
        }
        closeOverdue();
    }
}

void CallerServer::inspect(socket_t socket, bool hasEnded)
{
    // Another thread may close a waiting connection for a new one, so the lock is held on.
    const std::lock_guard lock(mutex_);
    if (!parked_.contains(socket))
        return;
    Arrival arrival = arrivalOn(socket);
    if (arrival == Arrival::Partial && hasEnded)
        arrival = Arrival::Ended;
    if (arrival == Arrival::Partial)
        return;
    epoll_ctl(poller_, EPOLL_CTL_DEL, socket, nullptr);
    parked_.erase(socket);
    if (arrival == Arrival::Ended)
        close(socket);
    else if (!ready_.offer(socket))
        refuse(socket);
}

void CallerServer::closeOverdue()
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.now();
    std::erase_if(parked_, [&](const auto &entry) {
        if (entry.second.until > now)
            return false;
        close(entry.first);
        return true;
    });
}

void CallerServer::runServing()
{
    while (const std::optional<socket_t> socket = ready_.take())
        serveConnection(*socket);
}

void CallerServer::serveConnection(socket_t socket)
{
    CallerStream stream(socket, clock_);
    bool isClosed = false;
    do {
        stream.beginRequest();
        const bool served = process_request(stream, false, isClosed, nullptr);
        isClosed = isClosed || !served;
    } while (!isClosed && stream.hasBuffered());
    if (!isClosed) {
        park(socket);
        return;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
}

void CallerServer::refuse(socket_t socket)
{
    send(socket, refusal.data(), refusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    // Unread bytes would make the close a reset, which may overtake the answer.
    std::array<char, drainBytes> ignored {};
    recv(socket, ignored.data(), ignored.size(), MSG_DONTWAIT);
    close(socket);
}

} // namespace caraway
