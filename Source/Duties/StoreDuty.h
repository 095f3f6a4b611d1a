#pragma once

#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"
#include "Duties/StoreClient.h"

#include <thread>

namespace caraway {

/// Carries calls to the platform's key-value store, one at a time.
class StoreDuty
{
public:
    StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
              MetricsDuty &metrics);
    ~StoreDuty();

    /// Queues \a call; false when too many wait, and the call is dropped.
    bool offer(CallStore call) { return calls_.offer(std::move(call)); }

private:
    using AnswerBody = decltype(StoreAnswered::body);

    void run();
    AnswerBody call(const ReadShardRecords &read);
    AnswerBody call(const WriteShardRecord &write);

    EventRing &events_;
    const Clock &clock_;
    Ring<CallStore> calls_;
    StoreClient store_;
    std::thread thread_;
};

} // namespace caraway
