#pragma once

#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/FifoQueue.h"
#include "Decisions/Policy/FirstFit.h"
#include "Decisions/Policy/NoHolder.h"
#include "Decisions/Policy/NoKindHolder.h"
#include "Decisions/Policy/QueueBoundAdmission.h"

namespace caraway {

/// First come, first served, on the first worker with room.
struct BaselinePolicy
{
    using Queue = FifoQueue;
    using Placement = FirstFit;
    using Admission = QueueBoundAdmission;
    using Holder = NoHolder;
    using KindHolder = NoKindHolder;
    using Ejection = NeverEject;
    using Retries = AlwaysRetry;
};

static_assert(SchedulingPolicy<BaselinePolicy>);

} // namespace caraway
