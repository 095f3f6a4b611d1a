#pragma once

#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <memory>
#include <thread>
#include <vector>

namespace caraway {

/// Executes calls to the platform's key-value store. Reads and lease writes use separate threads
/// and connections, so that no lease renewal waits for a read.
class StoreDuty
{
public:
    StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
              MetricsDuty &metrics);
    ~StoreDuty();

    /// Queues \a call; if the ring is full, reports it as unanswered.
    void offer(const CallStore &call);

private:
    using AnswerBody = decltype(StoreAnswered::body);

    /// A thread with its own connection to the store and its own ring of calls.
    struct Executor
    {
        Executor(const ServeSettings &settings, MetricsDuty &metrics)
            : calls(static_cast<std::size_t>(settings.outwardRingCapacity))
            , store(settings.storeEndpoint, settings.storeTimeout, metrics)
        {
        }

        Ring<CallStore> calls;
        StoreClient store;
        std::thread thread;
    };

    void run(Executor &executor);
    Executor &executorFor(const CallStore &call);
    AnswerBody call(StoreClient &store, const ReadShardRecords &read);
    AnswerBody call(StoreClient &store, const WriteShardRecord &write);
    static AnswerBody makeUnanswered(const CallStore &call);

    EventRing &events_;
    const Clock &clock_;
    /// The first one executes reads, the others execute writes.
    std::vector<std::unique_ptr<Executor>> executors_;
};

} // namespace caraway
