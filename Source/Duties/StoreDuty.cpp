#include "Duties/StoreDuty.h"

#include "Decisions/StableHash.h"
#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

/// Threads that write leases. Each shard is assigned to one, which keeps its writes in order.
constexpr std::size_t leaseWriterCount = 2;

} // namespace

StoreDuty::StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                     MetricsDuty &metrics)
    : events_(events)
    , clock_(clock)
{
    for (std::size_t i = 0; i < 1 + leaseWriterCount; ++i) {
        executors_.push_back(std::make_unique<Executor>(settings, metrics));
        Executor &executor = *executors_.back();
        executor.thread = std::thread([this, &executor] { run(executor); });
    }
}

StoreDuty::~StoreDuty()
{
    for (const std::unique_ptr<Executor> &executor : executors_)
        executor->calls.close();
    for (const std::unique_ptr<Executor> &executor : executors_)
        executor->thread.join();
}

void StoreDuty::offer(const CallStore &call)
{
    if (!executorFor(call).calls.offer(call))
        events_.offer(StoreAnswered {clock_.now(), makeUnanswered(call)});
}

StoreDuty::Executor &StoreDuty::executorFor(const CallStore &call)
{
    const auto *write = std::get_if<WriteShardRecord>(&call.body);
    if (!write)
        return *executors_.front();
    return *executors_[1 + stableHash(write->record.shard.value()) % leaseWriterCount];
}

StoreDuty::AnswerBody StoreDuty::makeUnanswered(const CallStore &call)
{
    if (const auto *write = std::get_if<WriteShardRecord>(&call.body))
        return ShardRecordWritten {write->record, StoreOutcome::Unanswered};
    return ShardRecordsRead {};
}

void StoreDuty::run(Executor &executor)
{
    while (const std::optional<CallStore> next = executor.calls.take()) {
        const TimePoint sentAt = clock_.now();
        AnswerBody answer = std::visit([&](const auto &body) { return call(executor.store, body); },
                                       next->body);
        events_.offer(StoreAnswered {sentAt, std::move(answer)});
    }
}

StoreDuty::AnswerBody StoreDuty::call(StoreClient &store, const ReadShardRecords & /*read*/)
{
    const StoreReadResult range = store.readRange(shardKeyPrefix());
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
    // A claim that a pause of the process delayed past its deadline must not reach the store.
    if (write.notAfter != TimePoint() && clock_.now() >= write.notAfter)
        return ShardRecordWritten {write.record, StoreOutcome::Conflict};
    const StoreWriteResult result = store.compareAndSet(
            shardKey(write.record.shard), write.record.revision, encodeShardRecord(write.record));
    ShardRecordWritten written {write.record, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.record.revision = result.revision;
    return written;
}

} // namespace caraway
