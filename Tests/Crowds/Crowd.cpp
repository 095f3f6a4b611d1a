#include "Crowds/Crowd.h"

#include "Soak/SoakTypes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace caraway::tests {

namespace {

constexpr Milliseconds turnInterval {5};

int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result
            = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (result == 0 || errno == EINPROGRESS)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

Crowd::Crowd(CrowdPlan plan)
    : plan_(std::move(plan))
    , connections_(plan_.connections)
{
    for (Connection &connection : connections_)
        connection.socket = connectTo(plan_.port);
}

Crowd::~Crowd()
{
    for (const Connection &connection : connections_) {
        if (connection.socket >= 0)
            ::close(connection.socket);
    }
}

void Crowd::sendPiece(Connection &connection)
{
    if (connection.socket < 0 || soakNow() < connection.nextPieceAt)
        return;
    const std::size_t size = std::min(plan_.pieceBytes, plan_.bytes.size() - connection.sent);
    const ssize_t sent
            = ::send(connection.socket, plan_.bytes.data() + connection.sent, size, MSG_NOSIGNAL);
    if (sent > 0) {
        connection.sent += static_cast<std::size_t>(sent);
        connection.nextPieceAt = soakNow() + plan_.pause;
    } else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
        // Refused or closed.
        ::close(connection.socket);
        connection.socket = -1;
    }
}

void Crowd::sendFor(Milliseconds limit)
{
    const Milliseconds until = soakNow() + limit;
    const auto isDone = [&](const Connection &connection) {
        return connection.socket < 0 || connection.sent == plan_.bytes.size();
    };
    while (soakNow() < until && !std::all_of(connections_.begin(), connections_.end(), isDone)) {
        for (Connection &connection : connections_) {
            if (!isDone(connection))
                sendPiece(connection);
        }
        soakSleep(turnInterval);
    }
}

} // namespace caraway::tests
