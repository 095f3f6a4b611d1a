#pragma once

#include "Decisions/Fleet.h"
#include "Messages/ObjectReader.h"

/// Encodings of the platform's instance list and of shard records in its store.
namespace caraway {

Result<InstanceList> decodeInstanceList(std::string_view body);

/// The record without its revision, which the store keeps beside it.
std::string encodeShardRecord(const ShardRecord &record);
Result<ShardRecord> decodeShardRecord(std::string_view value, Revision revision);

} // namespace caraway
