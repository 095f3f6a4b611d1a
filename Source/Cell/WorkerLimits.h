#pragma once

#include "Core/Units.h"

#include <algorithm>
#include <cstdint>

namespace caraway::cell {

/// How long a heartbeat waits on the worker for a completion; well below the lease that it renews.
inline constexpr Milliseconds heartbeatWait {1500};
/// Added to the wait for network delay and a busy worker.
inline constexpr Milliseconds heartbeatMargin {800};
/// A worker normally replies to a start within milliseconds.
inline constexpr Milliseconds startTimeout {700};
/// No new work is placed on a worker for this long after a call without an answer.
inline constexpr Milliseconds unansweredBackoff {1500};
/// A worker's clock may be slow by two percent (1/50).
inline constexpr std::int64_t clockDriftDivisor = 50;

/// A worker refuses a start that arrives later than this after it was sent, so that its allocation
/// can be released. The start extends the worker's lease until then, but not beyond a renewal.
constexpr Milliseconds startWindow(Milliseconds workerLease)
{
    constexpr Milliseconds longest {2500};
    return std::min(longest, workerLease);
}

/// A holder renews leases of workers to at most a full lease after this time from its last
/// confirmation. The next holder waits as much longer for workers that it cannot read, and the runs
/// survive as much longer an outage of the store.
inline constexpr Milliseconds renewalLimit {2300};

/// Without a confirmation for this long, a holder neither starts tasks nor renews leases.
constexpr Milliseconds confirmationLimit(Milliseconds workerLease)
{
    return renewalLimit + workerLease - startWindow(workerLease);
}

} // namespace caraway::cell
