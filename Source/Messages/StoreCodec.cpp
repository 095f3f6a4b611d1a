#include "Messages/StoreCodec.h"

namespace caraway {

namespace {

/// A value with its key and revision, as the store gives it.
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
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "range");
    std::vector<ShardRecord> records;
    for (const nlohmann::json &element : reader.array("items")) {
        BOOST_LEAF_AUTO(stored, decodeStoredValue(element));
        BOOST_LEAF_AUTO(record, decodeShardRecord(stored.value, stored.revision));
        records.push_back(std::move(record));
    }
    reader.number("revision");
    BOOST_LEAF_CHECK(reader.finish());
    return records;
}

Result<PresetInForce> decodePresetInForceValue(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    BOOST_LEAF_AUTO(stored, decodeStoredValue(json));
    BOOST_LEAF_AUTO(value, parseJson(stored.value));
    return decodePresetInForce(value, stored.revision);
}

Result<Revision> decodeWrittenRevision(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "write answer");
    const Revision revision(static_cast<std::uint64_t>(reader.number("revision")));
    BOOST_LEAF_CHECK(reader.finish());
    return revision;
}

} // namespace caraway
