#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"

#include <cstdint>

namespace caraway {

/// The durations and bounds that apply to the decisions of an instance.
struct DecisionSettings
{
    InstanceId self;
    ZoneId zone;
    /// Duration of a shard lease, counted by the holder from before it sends the renewal.
    Milliseconds shardLease {2500};
    /// Interval between renewals of a shard lease.
    Milliseconds shardRenewal {700};
    /// Interval between reads of the shard records from the store.
    Milliseconds shardRead {500};
    /// Subtracted from the shard lease by its holder, and added to task leases, to allow for clocks
    /// that run at different rates.
    Milliseconds leaseMargin {200};
    /// How long a worker runs a task without a heartbeat.
    Milliseconds taskLease {6000};
    Milliseconds workerHeartbeat {1000};
    /// How long a holder whose shard lease expired continues to renew task leases, so that running
    /// tasks outlive the time until a dead candidate is removed from the instance list.
    Milliseconds renewalGrace {10000};
    Milliseconds peerHeartbeat {500};
    /// How long the answers of a finished job are retained for its caller.
    Milliseconds answerRetention {60000};
    /// Duration of a candidate's promise not to claim a shard.
    Milliseconds promise {3000};
    /// Interval between promise requests of a holder that cannot renew its lease.
    Milliseconds promiseInterval {300};
    /// Maximum delay until a change of the fleet appears in the platform's instance list.
    Milliseconds listLag {2000};
    /// Maximum age of a read of the instance list on which decisions about shard leases are based.
    Milliseconds listAge {2000};
    std::uint32_t shardCandidates = 3;
};

} // namespace caraway
