#pragma once

#include "Core/Units.h"

#include <cstddef>
#include <string>
#include <vector>

namespace caraway::tests {

/// What each connection of a crowd sends.
struct CrowdPlan
{
    int port = 0;
    std::size_t connections = 0;
    std::string bytes;
    /// How much is sent at a time on one connection, before the others have their turn.
    std::size_t pieceBytes = 1 << 20;
    /// Pause between two pieces of a connection.
    Milliseconds pause;
};

/// Connections of clients that send what the plan says, never read an answer, and stay open.
class Crowd
{
public:
    explicit Crowd(CrowdPlan plan);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Sends until all is sent or refused, or for \a limit.
    void sendFor(Milliseconds limit);

private:
    struct Connection
    {
        int socket = -1;
        std::size_t sent = 0;
        Milliseconds nextPieceAt;
    };

    void sendPiece(Connection &connection);

    CrowdPlan plan_;
    std::vector<Connection> connections_;
};

} // namespace caraway::tests
