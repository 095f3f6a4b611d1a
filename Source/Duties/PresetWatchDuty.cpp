#include "Duties/PresetWatchDuty.h"

#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

/// Delay before a retry while the store does not answer.
constexpr Milliseconds retryInterval(500);

} // namespace

PresetWatchDuty::PresetWatchDuty(EventRing &events, const ServeSettings &settings,
                                 MetricsDuty &metrics)
    : events_(events)
    , watchDuration_(settings.presetWatchDuration)
    , store_(settings.storeEndpoint, settings.presetWatchDuration + settings.storeTimeout, metrics)
    , thread_([this] { run(); })
{
}

PresetWatchDuty::~PresetWatchDuty()
{
    stop_.stop();
    thread_.join();
}

void PresetWatchDuty::run()
{
    while (!stop_.isStopped()) {
        if (!watchOnce())
            stop_.sleepUnlessStopped(retryInterval);
    }
}

bool PresetWatchDuty::watchOnce()
{
    const StoreReadResult watched = store_.watch(presetInForceKey(), lastRevision_, watchDuration_);
    const auto records = decodeBody(watched, decodePresetInForceRange);
    if (!records)
        return false;
    for (const PresetInForce &inForce : *records) {
        if (events_.offer(ConfigurationAnswered {
                    PresetInForceRead {ChangeId(), StoreOutcome::Done, inForce}}))
            lastRevision_ = inForce.revision;
    }
    return true;
}

} // namespace caraway
