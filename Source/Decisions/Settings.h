#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"

#include <cstdint>

namespace caraway {

/// The durations and bounds that the decisions keep to.
struct DecisionSettings
{
    InstanceId self;
    ZoneId zone;
    /// How long a shard lease lasts after its renewal was sent.
    Milliseconds shardLease {2500};
    Milliseconds shardRenewal {700};
    /// How often the shard records are read from the store.
    Milliseconds shardRead {500};
    /// Taken off the shard lease for clocks that run at different rates.
    Milliseconds leaseMargin {200};
    /// How long a worker keeps a task running without a heartbeat.
    Milliseconds taskLease {6000};
    Milliseconds workerHeartbeat {1000};
    /// How long a holder whose shard lease ran out goes on renewing task leases, so that what runs
    /// outlives the time that a dead candidate takes to leave the instance list.
    Milliseconds renewalGrace {10000};
    Milliseconds peerHeartbeat {500};
    /// How long answers are kept for callers that do not take them.
    Milliseconds answerRetention {60000};
    /// How long a candidate that promised not to claim a shard keeps to it.
    Milliseconds promise {3000};
    /// How often a holder that cannot renew its lease asks for promises.
    Milliseconds promiseInterval {300};
    /// How far the platform's instance list may lag behind reality.
    Milliseconds listLag {2000};
    /// The oldest reading of the instance list that ownership of shards may rest on.
    Milliseconds listAge {2000};
    std::uint32_t shardCandidates = 3;
};

} // namespace caraway
