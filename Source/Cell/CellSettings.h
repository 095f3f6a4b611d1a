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
    /// Time from the storing of a configuration until no request may be handled by an older one.
    Milliseconds configurationApply {2000};
};

} // namespace caraway::cell
