#include "Decisions/Preset.h"

#include <algorithm>

namespace caraway {

namespace {

/// Long enough to find a change whose reply was lost and which other changes have followed.
constexpr std::size_t maxHistoryLength = 32;

} // namespace

const KindPolicy *Preset::findKind(const KindId &kind) const
{
    const auto found = std::ranges::find(kinds, kind, &KindPolicy::kind);
    return found == kinds.end() ? nullptr : &*found;
}

const TeamQuota *Preset::findTeam(const TeamId &team) const
{
    const auto found = std::ranges::find(teams, team, &TeamQuota::team);
    return found == teams.end() ? nullptr : &*found;
}

bool PresetInForce::contains(const ChangeId &id) const
{
    return change.id == id || std::ranges::find(history, id, &AuditRecord::id) != history.end();
}

PresetInForce successorOf(const std::optional<PresetInForce> &current, const Preset &preset,
                          const AuditRecord &change)
{
    PresetInForce next {.preset = preset, .change = change};
    next.change.to = preset.name;
    if (!current)
        return next;
    next.revision = current->revision;
    next.change.from = current->preset.name;
    next.history = current->history;
    next.history.insert(next.history.begin(), current->change);
    if (next.history.size() > maxHistoryLength)
        next.history.resize(maxHistoryLength);
    return next;
}

} // namespace caraway
