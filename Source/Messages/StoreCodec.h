#pragma once

#include "Messages/FleetCodec.h"
#include "Messages/PresetCodec.h"

/// Keys in the platform's store, and the store's own answers.
namespace caraway {

std::string shardKeyPrefix();
std::string shardKey(const ShardId &shard);
std::string presetInForceKey();

Result<std::vector<ShardRecord>> decodeShardRange(std::string_view body);
Result<PresetInForce> decodePresetInForceValue(std::string_view body);
Result<Revision> decodeWrittenRevision(std::string_view body);

} // namespace caraway
