#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Refuses work that would start later than its kind is promised, and bounds what one team
/// may fill of a kind's queue.
///
/// A team may have no more waiting than is left of the queue, so that any number of
/// flooding teams leave room for others. The wait is estimated from the kind's tasks that wait
/// already and from the rate at which the kind's tasks started while more of them waited.
class PromisedWaitAdmission
{
public:
    std::optional<Refusal> refusalOf(const AdmissionQuestion &question) const;
    void onStarted(KindIndex kind, std::size_t count);
    void onRoundEnded(TimePoint now, KindIndex kind, std::size_t waiting);

private:
    struct StartRate
    {
        TimePoint windowBegan;
        std::size_t startsInWindow = 0;
        std::uint32_t windowsSeen = 0;
        double startsPerSecond = 0;
    };

    std::optional<Milliseconds> expectedWait(KindIndex kind, std::size_t waiting) const;

    std::vector<StartRate> rates_;
};

} // namespace caraway
