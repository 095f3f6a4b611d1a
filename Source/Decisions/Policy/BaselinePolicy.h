#pragma once

#include "Decisions/Policy/FifoQueue.h"
#include "Decisions/Policy/FirstFit.h"

namespace caraway {

/// First come, first served, on the first worker with room.
struct BaselinePolicy
{
    using Queue = FifoQueue;
    using Placement = FirstFit;
};

static_assert(SchedulingPolicy<BaselinePolicy>);

} // namespace caraway
