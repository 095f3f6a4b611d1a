#pragma once

#include "Command/Commands.h"
#include "Command/EntryClient.h"
#include "Decisions/Preset.h"

namespace caraway {

/// The subcommands `preset` and `audit`, with which operators inspect and change presets.
class PresetCommand
{
public:
    PresetCommand(const Arguments &arguments, EntryClient client);

    /// Runs `preset list`, `show`, `create`, `edit` or `use`. Returns the exit code.
    Result<int> run();
    /// Runs `audit`. Returns the exit code.
    Result<int> showAudit();

private:
    Result<int> list();
    Result<int> show();
    Result<int> createOrEdit(bool isNew);
    Result<int> use();
    Result<nlohmann::json> findDefinition(const std::string &name);
    Result<int> waitForFollowers(std::uint64_t revision, std::int64_t timeoutMs);
    int print(const nlohmann::json &answer, const std::string &text) const;
    AuditRecord makeAuditRecord() const;

    const Arguments &arguments_;
    EntryClient client_;
};

} // namespace caraway
