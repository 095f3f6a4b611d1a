#pragma once

#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/FifoQueue.h"
#include "Decisions/Policy/FirstFit.h"
#include "Decisions/Policy/NoGangReservations.h"
#include "Decisions/Policy/NoKindReservations.h"
#include "Decisions/Policy/QueueBoundAdmission.h"

namespace caraway {

/// First come, first served, on the first worker with sufficient free capacity.
struct BaselinePolicy
{
    using Queue = FifoQueue;
    using Placement = FirstFit;
    using Admission = QueueBoundAdmission;
    using GangReservations = NoGangReservations;
    using KindReservations = NoKindReservations;
    using Ejection = NeverEject;
    using Retries = AlwaysRetry;
};

static_assert(SchedulingPolicy<BaselinePolicy>);

} // namespace caraway
