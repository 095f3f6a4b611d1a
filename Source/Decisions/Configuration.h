#pragma once

#include "Core/Error.h"
#include "Decisions/Preset.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What passes between the decisions and the store about configuration.
namespace caraway {

/// How a call to the store ended.
enum class StoreOutcome {
    Done,
    /// The record's revision was not the expected one.
    Conflict,
    /// No answer: a write may have taken effect.
    Unanswered,
};

/// A day of the audit trail, as YYYY-MM-DD; empty for today.
using AuditDay = NameId<struct AuditDayTag>;

/// Reads the record for the change that wants to know what became of it.
struct ReadPresetInForce
{
    ChangeId change;
};
struct WritePresetInForce
{
    /// The record to write; its revision is the one that the store must still have.
    PresetInForce next;
};
struct ReadPresetDefinitions
{
    RequestId request;
};
struct WritePresetDefinition
{
    RequestId request;
    /// The definition to write; its revision is the one that the store must still have.
    PresetDefinition definition;
};
/// Writes each change under its own key, unless it is there already.
struct WriteAuditRecords
{
    std::vector<ChangeNote> changes;
};
struct ReadAuditTrail
{
    RequestId request;
    AuditDay day;
};
/// A call to the store about configuration.
struct CallConfiguration
{
    std::variant<ReadPresetInForce, WritePresetInForce, ReadPresetDefinitions,
                 WritePresetDefinition, WriteAuditRecords, ReadAuditTrail>
            body;
};

struct PresetInForceRead
{
    /// The change that asked; empty when the watch brought the record.
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
    std::vector<ChangeNote> changes;
};
/// The store's answer to a call about configuration.
struct ConfigurationAnswered
{
    std::variant<PresetInForceRead, PresetInForceWritten, PresetDefinitionsRead,
                 PresetDefinitionWritten, AuditTrailRead>
            body;
};

} // namespace caraway
