#include "Duties/StoreDuty.h"

#include "Decisions/StableHash.h"
#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

/// Threads that write leases. Each shard belongs to one, which keeps its writes in order.
constexpr std::size_t leaseWriterCount = 2;

} // namespace

StoreDuty::StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                     MetricsDuty &metrics)
    : events_(events)
    , clock_(clock)
{
    for (std::size_t i = 0; i < 1 + leaseWriterCount; ++i) {
        callers_.push_back(std::make_unique<Caller>(settings, metrics));
        Caller &caller = *callers_.back();
        caller.thread = std::thread([this, &caller] { run(caller); });
    }
}

StoreDuty::~StoreDuty()
{
    for (const std::unique_ptr<Caller> &caller : callers_)
        caller->calls.close();
    for (const std::unique_ptr<Caller> &caller : callers_)
        caller->thread.join();
}

void StoreDuty::offer(const CallStore &call)
{
    if (!callerFor(call).calls.offer(call))
        events_.offer(StoreAnswered {clock_.now(), unanswered(call)});
}

StoreDuty::Caller &StoreDuty::callerFor(const CallStore &call)
{
    const auto *write = std::get_if<WriteShardRecord>(&call.body);
    if (!write)
        return *callers_.front();
    return *callers_[1 + stableHash(write->record.shard.value()) % leaseWriterCount];
}

StoreDuty::AnswerBody StoreDuty::unanswered(const CallStore &call)
{
    if (const auto *write = std::get_if<WriteShardRecord>(&call.body))
        return ShardRecordWritten {write->record, StoreOutcome::Unanswered};
    return ShardRecordsRead {};
}

void StoreDuty::run(Caller &caller)
{
    while (const std::optional<CallStore> next = caller.calls.take()) {
        const TimePoint sentAt = clock_.now();
        AnswerBody answer = std::visit([&](const auto &body) { return call(caller.store, body); },
                                       next->body);
        events_.offer(StoreAnswered {sentAt, std::move(answer)});
    }
}

StoreDuty::AnswerBody StoreDuty::call(StoreClient &store, const ReadShardRecords & /*read*/)
{
    const StoreRead range = store.readRange(shardKeyPrefix());
    if (!range.body)
        return ShardRecordsRead {};
    return recoverFrom(
            [&]() -> Result<ShardRecordsRead> {
                BOOST_LEAF_AUTO(records, decodeShardRange(*range.body));
                return ShardRecordsRead {StoreOutcome::Done, std::move(records)};
            },
            [](const Error & /*error*/) { return ShardRecordsRead {}; });
}

StoreDuty::AnswerBody StoreDuty::call(StoreClient &store, const WriteShardRecord &write)
{
    // A claim held up here by a pause of the process must not reach the store.
    if (write.notAfter != TimePoint() && clock_.now() >= write.notAfter)
        return ShardRecordWritten {write.record, StoreOutcome::Conflict};
    const StoreWrite result = store.compareAndSwap(
            shardKey(write.record.shard), write.record.revision, encodeShardRecord(write.record));
    ShardRecordWritten written {write.record, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.record.revision = result.revision;
    return written;
}

} // namespace caraway
