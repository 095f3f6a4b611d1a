#pragma once

#include "Core/Error.h"
#include "Decisions/Preset.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The store calls for presets and the audit trail, and their replies.
namespace caraway {

/// The outcome of a store call.
enum class StoreOutcome {
    Done,
    /// The record's revision was not the expected one.
    Conflict,
    /// No reply was received: a write may have been applied.
    Unanswered,
};

/// A day of the audit trail, as YYYY-MM-DD; empty for today.
using AuditDay = NameId<struct AuditDayTag>;

/// Reads the record back to resolve the outcome of a change.
struct ReadPresetInForce
{
    ChangeId change;
};
struct WritePresetInForce
{
    /// The record to write, provided that the store still has the record at this revision.
    PresetInForce next;
};
struct ReadPresetDefinitions
{
    RequestId request;
};
struct WritePresetDefinition
{
    RequestId request;
    /// The definition to write, provided that the store still has it at this revision.
    PresetDefinition definition;
};
/// Writes each change under its own key, unless the key exists already.
struct WriteAuditRecords
{
    std::vector<AuditRecord> changes;
};
struct ReadAuditTrail
{
    RequestId request;
    AuditDay day;
};
/// A store call for presets or the audit trail.
struct CallConfiguration
{
    std::variant<ReadPresetInForce, WritePresetInForce, ReadPresetDefinitions,
                 WritePresetDefinition, WriteAuditRecords, ReadAuditTrail>
            body;
};

struct PresetInForceRead
{
    /// The change that requested the read; empty if the record was received from the watch.
    ChangeId change;
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::optional<PresetInForce> inForce;
};
struct PresetInForceWritten
{
    PresetInForce inForce;
    StoreOutcome outcome = StoreOutcome::Unanswered;
};
struct PresetDefinitionsRead
{
    RequestId request;
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::vector<PresetDefinition> definitions;
};
struct PresetDefinitionWritten
{
    RequestId request;
    StoreOutcome outcome = StoreOutcome::Unanswered;
    PresetDefinition definition;
};
struct AuditTrailRead
{
    RequestId request;
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::vector<AuditRecord> changes;
};
/// The store's reply to a CallConfiguration.
struct ConfigurationAnswered
{
    std::variant<PresetInForceRead, PresetInForceWritten, PresetDefinitionsRead,
                 PresetDefinitionWritten, AuditTrailRead>
            body;
};

} // namespace caraway
