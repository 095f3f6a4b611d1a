#pragma once

#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <memory>
#include <thread>
#include <vector>

namespace caraway {

/// Carries calls to the platform's key-value store. Readings have a thread and a connection of
/// their own, and so have writes of leases, so that no renewal waits behind a reading.
class StoreDuty
{
public:
    StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
              MetricsDuty &metrics);
    ~StoreDuty();

    /// Queues \a call; one that finds no room is answered as unanswered.
    void offer(const CallStore &call);

private:
    using AnswerBody = decltype(StoreAnswered::body);

    /// One thread with its own connection and ring.
    struct Caller
    {
        Caller(const ServeSettings &settings, MetricsDuty &metrics)
            : calls(static_cast<std::size_t>(settings.outwardRing))
            , store(settings.store, settings.storeTimeout, metrics)
        {
        }

        Ring<CallStore> calls;
        StoreClient store;
        std::thread thread;
    };

    void run(Caller &caller);
    Caller &callerFor(const CallStore &call);
    AnswerBody call(StoreClient &store, const ReadShardRecords &read);
    AnswerBody call(StoreClient &store, const WriteShardRecord &write);
    static AnswerBody unanswered(const CallStore &call);

    EventRing &events_;
    const Clock &clock_;
    /// The first one reads, the others write.
    std::vector<std::unique_ptr<Caller>> callers_;
};

} // namespace caraway
