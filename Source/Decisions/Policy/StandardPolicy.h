#pragma once

#include "Decisions/Policy/BestFit.h"
#include "Decisions/Policy/Ejection.h"
#include "Decisions/Policy/FairQueue.h"
#include "Decisions/Policy/GangReservations.h"
#include "Decisions/Policy/KindReservations.h"
#include "Decisions/Policy/PromisedWaitAdmission.h"

namespace caraway {

/// Weighted dominant-resource fairness, best fit, reservations for gangs and for underserved
/// kinds, and refusal of work that would start later than promised.
struct StandardPolicy
{
    using Queue = FairQueue;
    using Placement = BestFit;
    using Admission = PromisedWaitAdmission;
    using GangReservations = caraway::GangReservations;
    using KindReservations = caraway::KindReservations;
    using Ejection = OutlierEjection;
    using Retries = RetryBudget;
};

static_assert(SchedulingPolicy<StandardPolicy>);

} // namespace caraway
