#include "Duties/PresetWatchDuty.h"

#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

/// Between two tries while the store does not answer.
constexpr Milliseconds retryInterval(500);

} // namespace

PresetWatchDuty::PresetWatchDuty(EventRing &events, const ServeSettings &settings,
                                 MetricsDuty &metrics)
    : events_(events)
    , wait_(settings.presetWatch)
    , store_(settings.store, settings.presetWatch + settings.storeTimeout, metrics)
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
    const StoreRead watched = store_.watch(presetInForceKey(), seen_, wait_);
    const auto records = decodeIfDone(watched, decodePresetInForceRange);
    if (!records)
        return false;
    for (const PresetInForce &inForce : *records) {
        if (events_.offer(ConfigurationAnswered {
                    PresetInForceRead {ChangeId(), StoreOutcome::Done, inForce}}))
            seen_ = inForce.revision;
    }
    return true;
}

} // namespace caraway
