#pragma once

#include "Decisions/Preset.h"
#include "Messages/ObjectReader.h"

/// JSON encoding of presets, their changes and the record of the preset in force.
namespace caraway {

nlohmann::json encodePreset(const Preset &preset);
Result<Preset> decodePreset(const nlohmann::json &json);

nlohmann::json encodeAuditRecord(const AuditRecord &record);
Result<AuditRecord> decodeAuditRecord(const nlohmann::json &json);

/// Encodes the record without its revision, which the store returns with each value.
nlohmann::json encodePresetInForce(const PresetInForce &inForce);
Result<PresetInForce> decodePresetInForce(const nlohmann::json &json, Revision revision);

/// Encodes the definition without its revision, which the store returns with each value.
nlohmann::json encodePresetDefinition(const PresetDefinition &definition);
Result<PresetDefinition> decodePresetDefinition(const nlohmann::json &json, Revision revision);

} // namespace caraway
