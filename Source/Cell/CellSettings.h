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

    /// Processor time that the instance may use.
    Millicores processors {1000};
    /// Longest lease that a worker grants to what runs on it.
    Milliseconds workerLease {6000};
    /// How long the final state of a job can be asked for.
    Milliseconds resultLifetime {120'000};
    /// Time from SIGTERM to SIGKILL.
    Milliseconds stopGrace {6000};
};

} // namespace caraway::cell
