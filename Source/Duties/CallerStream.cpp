#include "Duties/CallerStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace caraway {

namespace {

void formatAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    if (address.sin_family == AF_INET
        && inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
        ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

const short CallerStream::readEvents = POLLIN;
const short CallerStream::writeEvents = POLLOUT;

CallerStream::CallerStream(socket_t socket, const Clock &clock)
    : socket_(socket)
    , clock_(clock)
{
    beginRequest();
}

void CallerStream::beginRequest()
{
    readDeadline_ = clock_.now() + readTimeout;
    isWriting_ = false;
}

bool CallerStream::waitFor(short events, TimePoint deadline) const
{
    for (;;) {
        const Milliseconds remaining = deadline - clock_.now();
        if (remaining <= Milliseconds())
            return false;
        pollfd descriptor {socket_, events, 0};
        const int ready = poll(&descriptor, 1, static_cast<int>(remaining.count()));
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
    }
}

ssize_t CallerStream::read(char *data, std::size_t size)
{
    if (!hasBufferedBytes()) {
        if (!waitFor(readEvents, readDeadline_))
            return -1;
        const ssize_t count = recv(socket_, buffer_.data(), buffer_.size(), 0);
        if (count <= 0)
            return count;
        begin_ = 0;
        end_ = static_cast<std::size_t>(count);
    }
    const std::size_t copied = std::min(size, end_ - begin_);
    std::copy_n(buffer_.data() + begin_, copied, data);
    begin_ += copied;
    return static_cast<ssize_t>(copied);
}

ssize_t CallerStream::write(const char *data, std::size_t size)
{
    if (!isWriting_) {
        isWriting_ = true;
        writeDeadline_ = clock_.now() + writeTimeout;
    }
    if (!waitFor(writeEvents, writeDeadline_))
        return -1;
    return send(socket_, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void CallerStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (getpeername(socket_, reinterpret_cast<sockaddr *>(&address), &size) == 0)
        formatAddress(address, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size) == 0)
        formatAddress(address, ip, port);
}

} // namespace caraway
