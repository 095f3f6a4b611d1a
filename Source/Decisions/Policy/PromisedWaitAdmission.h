#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Refuses work that would start later than promised for its kind, and bounds the part of a kind's
/// queue that one team may fill.
///
/// A team may have at most as many tasks queued as the kind's queue has free places, so that any
/// number of flooding teams leave part of the queue to others. The wait is estimated from the
/// number of the kind's queued tasks and from the rate at which its tasks started while more of
/// them were queued.
class PromisedWaitAdmission
{
public:
    std::optional<Refusal> refusalOf(const AdmissionRequest &request) const;
    void onStarted(KindIndex kind, std::size_t count);
    void onPassEnded(TimePoint now, KindIndex kind, std::size_t queued);

private:
    struct StartRate
    {
        TimePoint windowStart;
        std::size_t startsInWindow = 0;
        std::uint32_t windowsSeen = 0;
        double startsPerSecond = 0;
    };

    std::optional<Milliseconds> expectedWait(KindIndex kind, std::size_t queued) const;

    std::vector<StartRate> rates_;
};

} // namespace caraway
