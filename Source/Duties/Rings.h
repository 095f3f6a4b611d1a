#pragma once

#include "Core/Ring.h"
#include "Decisions/Actions.h"

namespace caraway {

/// Carries events to the decisions. If it is full, the event is dropped: a caller's request is
/// refused without being run, and all other content arrives again with the next heartbeat, read
/// or tick.
using EventRing = Ring<Event>;

} // namespace caraway
