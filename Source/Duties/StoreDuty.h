#pragma once

#include "Duties/HttpClient.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"

#include <thread>

namespace caraway {

/// Carries calls to the platform's key-value store, one at a time.
class StoreDuty
{
public:
    StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings);
    ~StoreDuty();

    /// Queues \a call; false when too many wait, and the call is dropped.
    bool offer(CallStore call) { return calls_.offer(std::move(call)); }

private:
    using AnswerBody = decltype(StoreAnswered::body);
    struct WriteResult
    {
        StoreOutcome outcome = StoreOutcome::Unanswered;
        Revision revision;
    };

    void run();
    AnswerBody call(const ReadShardRecords &read);
    AnswerBody call(const WriteShardRecord &write);
    AnswerBody call(const ReadPresetInForce &read);
    AnswerBody call(const WritePresetInForce &write);
    WriteResult compareAndSwap(const std::string &key, Revision expected, const std::string &value);

    EventRing &events_;
    const Clock &clock_;
    Ring<CallStore> calls_;
    std::unique_ptr<httplib::Client> client_;
    std::thread thread_;
};

} // namespace caraway
