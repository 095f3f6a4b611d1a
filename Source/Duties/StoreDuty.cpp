#include "Duties/StoreDuty.h"

#include "Messages/StoreCodec.h"

namespace caraway {

StoreDuty::StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                     MetricsDuty &metrics)
    : events_(events)
    , clock_(clock)
    , calls_(static_cast<std::size_t>(settings.outwardRing))
    , store_(settings.store, settings.storeTimeout, metrics)
    , thread_([this] { run(); })
{
}

StoreDuty::~StoreDuty()
{
    calls_.close();
    thread_.join();
}

void StoreDuty::run()
{
    while (const std::optional<CallStore> next = calls_.take()) {
        const TimePoint sentAt = clock_.now();
        AnswerBody answer = std::visit([this](const auto &body) { return call(body); }, next->body);
        events_.offer(StoreAnswered {sentAt, std::move(answer)});
    }
}

StoreDuty::AnswerBody StoreDuty::call(const ReadShardRecords & /*read*/)
{
    const StoreRead range = store_.readRange(shardKeyPrefix());
    if (!range.body)
        return ShardRecordsRead {};
    return recoverFrom(
            [&]() -> Result<ShardRecordsRead> {
                BOOST_LEAF_AUTO(records, decodeShardRange(*range.body));
                return ShardRecordsRead {StoreOutcome::Done, std::move(records)};
            },
            [](const Error & /*error*/) { return ShardRecordsRead {}; });
}

StoreDuty::AnswerBody StoreDuty::call(const WriteShardRecord &write)
{
    const StoreWrite result = store_.compareAndSwap(
            shardKey(write.record.shard), write.record.revision, encodeShardRecord(write.record));
    ShardRecordWritten written {write.record, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.record.revision = result.revision;
    return written;
}

} // namespace caraway
