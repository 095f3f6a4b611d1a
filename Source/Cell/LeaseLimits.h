#pragma once

#include "Core/Units.h"

namespace caraway::cell {

/// A worker refuses a start that arrives later than this after it was sent, so that its allocation
/// can be released. The start extends the worker's lease until then.
inline constexpr Milliseconds startWindow {2500};

/// A holder renews leases of workers to at most a full lease after this time from its last
/// confirmation. The next holder waits as much longer for workers that it cannot read, and the runs
/// survive as much longer an outage of the store.
inline constexpr Milliseconds renewalLimit {2300};

/// Without a confirmation for this long, a holder neither starts tasks nor renews leases.
constexpr Milliseconds confirmationLimit(Milliseconds workerLease)
{
    return renewalLimit + workerLease - startWindow;
}

} // namespace caraway::cell
