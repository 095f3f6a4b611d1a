#pragma once

#include "Core/StopSignal.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <thread>

namespace caraway {

/// Watches the preset in force in the platform's store, with one waiting call at a time.
class PresetWatchDuty
{
public:
    PresetWatchDuty(EventRing &events, const ServeSettings &settings, MetricsDuty &metrics);
    ~PresetWatchDuty();

private:
    void run();
    /// Waits for a newer record; false when the store did not answer.
    bool watchOnce();

    EventRing &events_;
    Milliseconds wait_;
    StoreClient store_;
    Revision seen_;
    StopSignal stop_;
    std::thread thread_;
};

} // namespace caraway
