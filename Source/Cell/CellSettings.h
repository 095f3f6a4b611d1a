#pragma once

#include "Cell/CellTypes.h"

namespace caraway::cell {

/// Settings of an entry instance of a cell, read at its start. Operators set the limits that depend
/// on the fleet; the defaults are for its present sizes.
struct CellSettings
{
    InstanceId self;
    ZoneId zone;
    /// Where this instance listens for callers, readiness probes, metrics and peers.
    Address callers;
    Address readiness;
    Address metrics;
    Address peers;
    /// Address of the store.
    Address store;
    /// The policy service; port 0 if the fleet has none.
    Address approvals;

    /// Processors that this instance may use.
    Millicores processors {1000};
    /// Maximum lease that a worker grants to its runs.
    Milliseconds workerLease {6000};
    /// How long the result of a finished job is kept.
    Milliseconds resultLifetime {120'000};
    /// Time from SIGTERM to SIGKILL.
    Milliseconds stopGrace {6000};
    /// The memory and the file descriptors that this process may use.
    Bytes memory {256 << 20};
    std::int64_t descriptors = 4096;
    /// Limits for the clients of one listener; 0 for the part that follows from the above.
    std::int64_t maxClientConnections = 0;
    Bytes maxRequestMemory;
    /// Fields in the header of a request.
    std::int64_t headerFields = 256;
    /// Requests in a row that a client has sent before it received the answer to the one before.
    std::int64_t requestsAhead = 64;

    /// The links to peers, workers and the store need most descriptors of the holder.
    std::int64_t clientConnections() const
    {
        return maxClientConnections > 0 ? maxClientConnections : descriptors / 3;
    }
    /// For bodies that were not answered; decoded, a body takes several times its size.
    Bytes requestMemory() const
    {
        return maxRequestMemory > Bytes() ? maxRequestMemory : memory / 16;
    }
    /// Time from the storing of a configuration until no request may be handled by an older one.
    Milliseconds configurationApply {2000};
};

} // namespace caraway::cell
