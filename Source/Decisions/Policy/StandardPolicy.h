#pragma once

#include "Decisions/Policy/BestFit.h"
#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/FairQueue.h"
#include "Decisions/Policy/GangHolder.h"
#include "Decisions/Policy/KindHolder.h"
#include "Decisions/Policy/PromisedWaitAdmission.h"

namespace caraway {

/// Weighted dominant-resource shares, best fit, held room for gangs, and refusal of work that
/// would start later than promised.
struct StandardPolicy
{
    using Queue = FairQueue;
    using Placement = BestFit;
    using Admission = PromisedWaitAdmission;
    using Holder = GangHolder;
    using KindHolder = caraway::KindHolder;
    using Ejection = FleetRateEjection;
    using Retries = RetryBudget;
};

static_assert(SchedulingPolicy<StandardPolicy>);

} // namespace caraway
