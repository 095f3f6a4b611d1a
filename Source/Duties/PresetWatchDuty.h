#pragma once

#include "Core/StopSignal.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <thread>

namespace caraway {

/// Watches the preset in force in the platform's store by long polling, one call at a time.
class PresetWatchDuty
{
public:
    PresetWatchDuty(EventRing &events, const ServeSettings &settings, MetricsDuty &metrics);
    ~PresetWatchDuty();

private:
    void run();
    /// Waits for a newer record; returns false if the store did not answer or the answer is
    /// malformed.
    bool watchOnce();

    EventRing &events_;
    Milliseconds watchDuration_;
    StoreClient store_;
    Revision lastRevision_;
    StopSignal stop_;
    std::thread thread_;
};

} // namespace caraway
