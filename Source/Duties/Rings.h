#pragma once

#include "Core/Ring.h"
#include "Decisions/Actions.h"

namespace caraway {

/// Into the decisions. Full: callers are told "not run"; everything else is said again
/// by the next heartbeat, reading or tick.
using EventRing = Ring<Event>;

} // namespace caraway
