#include "Duties/StoreDuty.h"

#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

enum HttpStatus { Ok = 200, NotFound = 404, ConflictStatus = 409 };

} // namespace

StoreDuty::StoreDuty(EventRing &events, const Clock &clock, const ServeSettings &settings)
    : events_(events)
    , clock_(clock)
    , calls_(static_cast<std::size_t>(settings.outwardRing))
    , client_(makeHttpClient(settings.store, settings.storeTimeout))
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
    const httplib::Result response = client_->Get("/range?prefix=" + shardKeyPrefix());
    ShardRecordsRead read;
    if (!response || response->status != Ok)
        return read;
    return recoverFrom(
            [&]() -> Result<ShardRecordsRead> {
                BOOST_LEAF_ASSIGN(read.records, decodeShardRange(response->body));
                read.outcome = StoreOutcome::Done;
                return read;
            },
            [](const Error & /*error*/) { return ShardRecordsRead {}; });
}

StoreDuty::AnswerBody StoreDuty::call(const WriteShardRecord &write)
{
    const WriteResult result = compareAndSwap(shardKey(write.record.shard), write.record.revision,
                                              encodeShardRecord(write.record));
    ShardRecordWritten written {write.record, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.record.revision = result.revision;
    return written;
}

StoreDuty::AnswerBody StoreDuty::call(const ReadPresetInForce & /*read*/)
{
    const httplib::Result response = client_->Get("/kv?key=" + presetInForceKey());
    if (response && response->status == NotFound)
        return PresetInForceRead {StoreOutcome::Done, std::nullopt};
    if (!response || response->status != Ok)
        return PresetInForceRead {};
    return recoverFrom(
            [&]() -> Result<PresetInForceRead> {
                BOOST_LEAF_AUTO(inForce, decodePresetInForceValue(response->body));
                return PresetInForceRead {StoreOutcome::Done, std::move(inForce)};
            },
            [](const Error & /*error*/) { return PresetInForceRead {}; });
}

StoreDuty::AnswerBody StoreDuty::call(const WritePresetInForce &write)
{
    const WriteResult result = compareAndSwap(presetInForceKey(), write.inForce.revision,
                                              encodePresetInForce(write.inForce).dump());
    PresetInForceWritten written {write.request, write.inForce, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.inForce.revision = result.revision;
    return written;
}

StoreDuty::WriteResult StoreDuty::compareAndSwap(const std::string &key, Revision expected,
                                                 const std::string &value)
{
    const std::string path = "/kv?key=" + key + "&expect=" + std::to_string(expected.value());
    const httplib::Result response = client_->Put(path, value, "application/json");
    if (!response)
        return {};
    if (response->status == ConflictStatus)
        return {StoreOutcome::Conflict, {}};
    if (response->status != Ok)
        return {};
    return recoverFrom(
            [&]() -> Result<WriteResult> {
                BOOST_LEAF_AUTO(revision, decodeWrittenRevision(response->body));
                return WriteResult {StoreOutcome::Done, revision};
            },
            [](const Error & /*error*/) { return WriteResult {}; });
}

} // namespace caraway
