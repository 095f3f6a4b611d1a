#pragma once

#include "Decisions/Fleet.h"
#include "Decisions/Settings.h"

#include <cstdint>

namespace caraway {

/// The settings of an entry instance, read once at its start.
struct ServeSettings
{
    DecisionSettings decisions;
    /// Where callers and workers reach this instance.
    Endpoint callerEndpoint;
    /// Where the other entry instances reach this one.
    Endpoint peerEndpoint;
    Endpoint storeEndpoint;
    Endpoint instanceListEndpoint;
    std::int64_t callerThreads = 32;
    std::int64_t upstreamThreads = 8;
    /// Consecutive unanswered calls that open a worker's circuit breaker; 0 disables it.
    std::int64_t breakerFailures = 2;
    std::int64_t eventRingCapacity = 16'384;
    std::int64_t outwardRingCapacity = 4096;
    Bytes maxRequestBody {1 << 20};
    Milliseconds tickInterval {25};
    Milliseconds listReadInterval {500};
    Milliseconds storeTimeout {400};
    /// Duration of one watch call for the preset in force; a dead connection is detected only
    /// when the call ends.
    Milliseconds presetWatchDuration {2000};
    Milliseconds workerTimeout {800};
};

} // namespace caraway
