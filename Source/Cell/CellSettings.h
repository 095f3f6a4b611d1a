#pragma once

#include "Cell/CellTypes.h"

namespace caraway::cell {

/// What an entry instance of a cell is told at its start. Bounds that belong to the fleet come
/// from its operators; the defaults here are those of the sizes of today.
struct CellSettings
{
    InstanceId self;
    ZoneId zone;
    Address callers;
    Address readiness;
    Address metrics;
    Address peers;
    Address store;
    /// The policy service; port 0 where the fleet has none.
    Address approvals;

    /// Longest lease that a worker grants to what runs on it.
    Milliseconds workerLease {6000};
    /// How long a stopped task may take to end.
    Milliseconds stopTime {1000};
    /// How long a member of a gang waits for the others before it gives up.
    Milliseconds gangTimeout {3000};
    /// How long the final state of a job can be asked for.
    Milliseconds resultLifetime {120'000};
    /// Time from SIGTERM to SIGKILL.
    Milliseconds stopGrace {6000};
    /// Shortest lease of the store.
    Milliseconds leastStoreLease {1000};
    /// Commits that the store takes in a second, of all instances together.
    std::int64_t storeWritesPerSecond = 400;
    /// Factor by which a task takes longer away from its data or its gang's rack.
    std::int64_t remoteFactor = 3;
};

} // namespace caraway::cell
