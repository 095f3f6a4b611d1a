#pragma once

#include "Decisions/Fleet.h"
#include "Messages/ObjectReader.h"

/// JSON encoding of the platform's instance list and of the shard records in its store.
namespace caraway {

struct DecodedInstanceList
{
    InstanceList list;
    /// The entries that were left out, each with the reason.
    std::vector<std::string> malformed;
};

/// Leaves out malformed entries, as other writers may have added them.
Result<DecodedInstanceList> decodeInstanceList(std::string_view body);

/// Encodes the record without its revision, which the store returns with each value.
std::string encodeShardRecord(const ShardRecord &record);
Result<ShardRecord> decodeShardRecord(std::string_view value, Revision revision);

} // namespace caraway
