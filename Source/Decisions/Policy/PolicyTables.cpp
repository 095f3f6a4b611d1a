#include "Decisions/Policy/PolicyTables.h"

namespace caraway {

void PolicyTables::usePreset(const Preset &preset)
{
    preset_ = preset;
    for (const KindPolicy &kind : preset_.kinds)
        kinds_.indexOf(kind.kind);
    for (const TeamQuota &team : preset_.teams)
        teams_.indexOf(team.team);
    kindPositions_.assign(kinds_.size(), absent);
    teamPositions_.assign(teams_.size(), absent);
    for (std::size_t i = 0; i < preset_.kinds.size(); ++i)
        kindPositions_[kinds_.indexOf(preset_.kinds[i].kind).value()] = i;
    for (std::size_t i = 0; i < preset_.teams.size(); ++i)
        teamPositions_[teams_.indexOf(preset_.teams[i].team).value()] = i;
}

const KindPolicy *PolicyTables::findKind(const KindId &kind) const
{
    const KindIndex *index = kinds_.find(kind);
    return index ? policyOf(*index) : nullptr;
}

const KindPolicy *PolicyTables::policyOf(KindIndex kind) const
{
    if (kind.value() >= kindPositions_.size() || kindPositions_[kind.value()] == absent)
        return nullptr;
    return &preset_.kinds[kindPositions_[kind.value()]];
}

const TeamQuota *PolicyTables::findTeam(const TeamId &team) const
{
    const TeamIndex *index = teams_.find(team);
    if (!index || index->value() >= teamPositions_.size()
        || teamPositions_[index->value()] == absent)
        return nullptr;
    return &preset_.teams[teamPositions_[index->value()]];
}

} // namespace caraway
