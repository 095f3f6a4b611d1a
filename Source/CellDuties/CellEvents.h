#pragma once

#include "Cell/CellInstance.h"
#include "Core/Ring.h"

namespace caraway::cell {

/// A request for the metrics was received; the text is sent as the answer to request \a number.
struct MetricsRequested
{
    std::uint64_t number = 0;
};

using DutyEvent = std::variant<CellEvent, MetricsRequested>;

/// Events from the duties to the decisions. Each call in flight has one reply, and the decisions
/// bound the calls in flight, so that the ring has capacity for all replies.
using CellEventRing = Ring<DutyEvent>;

} // namespace caraway::cell
