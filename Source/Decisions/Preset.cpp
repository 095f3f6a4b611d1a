#include "Decisions/Preset.h"

#include <algorithm>

namespace caraway {

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

} // namespace caraway
