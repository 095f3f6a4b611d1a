#pragma once

#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <thread>

namespace caraway {

/// Executes the store calls for presets and the audit trail, one at a time, over a connection
/// of its own, so that they do not queue behind other store calls.
class ConfigurationDuty
{
public:
    ConfigurationDuty(EventRing &events, const ServeSettings &settings, MetricsDuty &metrics);
    ~ConfigurationDuty();

    /// Queues \a call; returns false and drops it if the ring is full.
    bool offer(CallConfiguration call) { return calls_.offer(std::move(call)); }

private:
    void run();
    void call(const ReadPresetInForce &read);
    void call(const WritePresetInForce &write);
    void call(const ReadPresetDefinitions &read);
    void call(const WritePresetDefinition &write);
    void call(const WriteAuditRecords &write);
    void call(const ReadAuditTrail &read);

    EventRing &events_;
    Ring<CallConfiguration> calls_;
    StoreClient store_;
    std::thread thread_;
};

} // namespace caraway
