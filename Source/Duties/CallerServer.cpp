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

/// Maximum number of connections without a complete request; a further one replaces the oldest.
constexpr std::size_t maxPending = 512;
/// Maximum number of complete requests queued for the serving threads.
constexpr std::size_t maxReady = 256;
/// Time limit for receiving a complete request, and for idling between two requests.
constexpr Milliseconds requestTimeout(5000);
constexpr int listenBacklog = 512;
constexpr int expiryCheckIntervalMs = 250;
constexpr std::size_t maxHeaderBytes = 16'384;
/// A larger request is served while it is still being received: socket buffers are small.
constexpr std::size_t maxBufferedBytes = 32'768;
constexpr std::size_t maxDrainedBytes = 65'536;

constexpr std::string_view refusal
        = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
          "Retry-After: 1\r\nConnection: close\r\nContent-Length: 115\r\n\r\n"
          R"({"error":{"kind":"unavailable","message":"Too many requests wait here and this one )"
          R"(did not run. Try again later."}})";

/// Runs each task on the accepting thread, since a task only adds a connection to the poller.
class InlineTaskQueue : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override { }
};

std::size_t contentLength(std::string_view header)
{
    constexpr std::string_view name = "\r\ncontent-length:";
    const auto isSameIgnoringCase
            = [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; };
    const auto found = std::search(header.begin(), header.end(), name.begin(), name.end(),
                                   isSameIgnoringCase);
    if (found == header.end())
        return 0;
    std::string_view value = header.substr(static_cast<std::size_t>(found - header.begin()));
    value.remove_prefix(name.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::size_t length = 0;
    std::from_chars(value.data(), value.data() + value.size(), length);
    return length;
}

enum class RequestState { Partial, Complete, Closed };

/// Checks whether a complete request, or as much of it as the socket buffer can hold, was
/// received.
RequestState peekRequest(socket_t socket)
{
    std::array<char, maxHeaderBytes> bytes {};
    const ssize_t count = recv(socket, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (count == 0)
        return RequestState::Closed;
    if (count < 0)
        return errno == EAGAIN || errno == EINTR ? RequestState::Partial : RequestState::Closed;
    const std::string_view text(bytes.data(), static_cast<std::size_t>(count));
    const std::size_t headerEnd = text.find("\r\n\r\n");
    if (headerEnd == std::string_view::npos)
        return text.size() == bytes.size() ? RequestState::Complete : RequestState::Partial;
    const std::size_t body
            = std::min(contentLength(text.substr(0, headerEnd + 2)), maxBufferedBytes);
    int available = 0;
    ioctl(socket, FIONREAD, &available);
    const std::size_t needed = std::min(headerEnd + 4 + body, maxBufferedBytes);
    return static_cast<std::size_t>(available) >= needed ? RequestState::Complete
                                                         : RequestState::Partial;
}

} // namespace

CallerServer::CallerServer(std::size_t threads)
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
    , wakeEvent_(eventfd(0, EFD_CLOEXEC))
    , ready_(maxReady)
{
    new_task_queue = [] { return new InlineTaskQueue; };
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = wakeEvent_;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeEvent_, &event);
    pollerThread_ = std::thread([this] { runPoller(); });
    for (std::size_t i = 0; i < threads; ++i)
        servingThreads_.emplace_back([this] { runServing(); });
}

CallerServer::~CallerServer()
{
    finish();
    close(wakeEvent_);
    close(epoll_);
}

bool CallerServer::serve()
{
    // With the library's backlog of 5, connections of a burst are dropped and retried only
    // after a second.
    ::listen(svr_sock_, listenBacklog);
    return listen_after_bind();
}

void CallerServer::finish()
{
    if (!pollerThread_.joinable())
        return;
    const std::uint64_t one = 1;
    if (write(wakeEvent_, &one, sizeof one) < 0)
        std::abort();
    pollerThread_.join();
    ready_.close();
    for (std::thread &thread : servingThreads_)
        thread.join();
    for (const auto &[socket, connection] : pending_)
        close(socket);
    pending_.clear();
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    addPending(socket);
    return true;
}

void CallerServer::addPending(socket_t socket)
{
    const std::lock_guard lock(mutex_);
    if (pending_.size() >= maxPending) {
        const auto deadline = [](const auto &entry) { return entry.second.deadline; };
        const auto oldest = std::ranges::min_element(pending_, {}, deadline);
        close(oldest->first);
        pending_.erase(oldest);
    }
    pending_[socket] = {clock_.now() + requestTimeout};
    epoll_event event {};
    // Edge-triggered: a partial request wakes the poller once, not repeatedly until it is
    // complete.
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
    event.data.fd = socket;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
}

void CallerServer::runPoller()
{
    constexpr int maxEvents = 64;
    std::array<epoll_event, maxEvents> events {};
    for (;;) {
        const int count = epoll_wait(epoll_, events.data(), maxEvents, expiryCheckIntervalMs);
        for (int i = 0; i < count; ++i) {
            if (events[i].data.fd == wakeEvent_)
                return;
            checkConnection(events[i].data.fd,
                            events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR));
        }
        closeExpired();
    }
}

void CallerServer::checkConnection(socket_t socket, bool hasHungUp)
{
    // Another thread may close a pending connection in favour of a new one, so the lock is
    // held throughout.
    const std::lock_guard lock(mutex_);
    if (!pending_.contains(socket))
        return;
    RequestState state = peekRequest(socket);
    if (state == RequestState::Partial && hasHungUp)
        state = RequestState::Closed;
    if (state == RequestState::Partial)
        return;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
    pending_.erase(socket);
    if (state == RequestState::Closed)
        close(socket);
    else if (!ready_.offer(socket))
        refuse(socket);
}

void CallerServer::closeExpired()
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.now();
    std::erase_if(pending_, [&](const auto &entry) {
        if (entry.second.deadline > now)
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
    } while (!isClosed && stream.hasBufferedBytes());
    if (!isClosed) {
        addPending(socket);
        return;
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
}

void CallerServer::refuse(socket_t socket)
{
    send(socket, refusal.data(), refusal.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    // Closing a socket with unread bytes sends a reset, which may overtake the response.
    std::array<char, maxDrainedBytes> ignored {};
    recv(socket, ignored.data(), ignored.size(), MSG_DONTWAIT);
    close(socket);
}

} // namespace caraway
