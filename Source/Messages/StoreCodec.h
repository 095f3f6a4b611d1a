#pragma once

#include "Decisions/Configuration.h"
#include "Messages/FleetCodec.h"
#include "Messages/PresetCodec.h"

/// Keys of the records in the platform's key-value store, and decoding of the store's replies.
namespace caraway {

std::string shardKeyPrefix();
std::string shardKey(const ShardId &shard);
std::string presetInForceKey();

Result<std::vector<ShardRecord>> decodeShardRange(std::string_view body);
Result<PresetInForce> decodePresetInForceValue(std::string_view body);
Result<std::vector<PresetInForce>> decodePresetInForceRange(std::string_view body);

std::string presetDefinitionKeyPrefix();
std::string presetDefinitionKey(const PresetName &name);
Result<std::vector<PresetDefinition>> decodePresetDefinitions(std::string_view body);

/// The UTC date of \a wallClock, which counts milliseconds since 1970.
AuditDay auditDayOf(Milliseconds wallClock);
std::string auditKeyPrefix(const AuditDay &day);
std::string auditKey(const AuditRecord &change);
Result<std::vector<AuditRecord>> decodeAuditTrail(std::string_view body);

/// The new revision of the record, from the reply to a write.
Result<Revision> decodeNewRevision(std::string_view body);

} // namespace caraway
