#include "Messages/StoreCodec.h"

#include <fmt/chrono.h>

#include <ctime>

namespace caraway {

namespace {

/// A value and its revision, as returned by the store.
struct StoredValue
{
    std::string value;
    Revision revision;
};

Result<StoredValue> decodeStoredValue(const nlohmann::json &json)
{
    ObjectReader reader(json, "stored value");
    reader.text("key");
    StoredValue stored;
    stored.value = reader.text("value");
    stored.revision = Revision(static_cast<std::uint64_t>(reader.number("revision")));
    BOOST_LEAF_CHECK(reader.finish());
    return stored;
}

/// Decodes the reply to a range read, each value with \a decode.
template<class T, class Decode>
Result<std::vector<T>> decodeRange(std::string_view body, Decode decode)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "range");
    std::vector<T> values;
    for (const nlohmann::json &element : reader.array("items")) {
        BOOST_LEAF_AUTO(stored, decodeStoredValue(element));
        BOOST_LEAF_AUTO(value, decode(stored));
        values.push_back(std::move(value));
    }
    reader.number("revision");
    BOOST_LEAF_CHECK(reader.finish());
    return values;
}

Result<PresetInForce> decodeStoredPresetInForce(const StoredValue &stored)
{
    BOOST_LEAF_AUTO(value, parseJson(stored.value));
    return decodePresetInForce(value, stored.revision);
}

} // namespace

std::string shardKeyPrefix()
{
    return "shards/";
}

std::string shardKey(const ShardId &shard)
{
    return shardKeyPrefix() + shard.value();
}

std::string presetInForceKey()
{
    return "config/preset-in-force";
}

Result<std::vector<ShardRecord>> decodeShardRange(std::string_view body)
{
    return decodeRange<ShardRecord>(body, [](const StoredValue &stored) {
        return decodeShardRecord(stored.value, stored.revision);
    });
}

Result<PresetInForce> decodePresetInForceValue(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    BOOST_LEAF_AUTO(stored, decodeStoredValue(json));
    return decodeStoredPresetInForce(stored);
}

Result<std::vector<PresetInForce>> decodePresetInForceRange(std::string_view body)
{
    return decodeRange<PresetInForce>(body, decodeStoredPresetInForce);
}

std::string presetDefinitionKeyPrefix()
{
    return "config/presets/";
}

std::string presetDefinitionKey(const PresetName &name)
{
    return presetDefinitionKeyPrefix() + name.value();
}

Result<std::vector<PresetDefinition>> decodePresetDefinitions(std::string_view body)
{
    return decodeRange<PresetDefinition>(body,
                                         [](const StoredValue &stored) -> Result<PresetDefinition> {
                                             BOOST_LEAF_AUTO(value, parseJson(stored.value));
                                             return decodePresetDefinition(value, stored.revision);
                                         });
}

AuditDay auditDayOf(Milliseconds wallClock)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::time_t seconds = wallClock.count() / millisecondsPerSecond;
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    return AuditDay(fmt::format("{:%Y-%m-%d}", parts));
}

std::string auditKeyPrefix(const AuditDay &day)
{
    return "audit/" + day.value() + "/";
}

std::string auditKey(const AuditRecord &change)
{
    // The fixed width lets the keys of a day sort by time.
    return fmt::format("{}{:013}-{}", auditKeyPrefix(auditDayOf(change.when)), change.when.count(),
                       change.id.value());
}

Result<std::vector<AuditRecord>> decodeAuditTrail(std::string_view body)
{
    return decodeRange<AuditRecord>(body, [](const StoredValue &stored) -> Result<AuditRecord> {
        BOOST_LEAF_AUTO(value, parseJson(stored.value));
        return decodeAuditRecord(value);
    });
}

Result<Revision> decodeNewRevision(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "write reply");
    const Revision revision(static_cast<std::uint64_t>(reader.number("revision")));
    BOOST_LEAF_CHECK(reader.finish());
    return revision;
}

} // namespace caraway
