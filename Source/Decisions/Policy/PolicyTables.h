#pragma once

#include "Decisions/Policy/SchedulingUnit.h"
#include "Decisions/Preset.h"

#include <unordered_map>
#include <vector>

namespace caraway {

/// Assigns names dense indexes, in the order in which they are first seen.
template<class Name, class Index>
class Interner
{
public:
    Index indexOf(const Name &name)
    {
        return indexes_.try_emplace(name, Index(indexes_.size())).first->second;
    }
    const Index *find(const Name &name) const
    {
        const auto found = indexes_.find(name);
        return found == indexes_.end() ? nullptr : &found->second;
    }
    std::size_t size() const { return indexes_.size(); }

private:
    std::unordered_map<Name, Index> indexes_;
};

/// The preset's kinds and teams by dense index. A name keeps its index when the preset changes.
class PolicyTables
{
public:
    void usePreset(const Preset &preset);

    /// The policy of that kind in the preset; null when the preset has none.
    const KindPolicy *findKind(const KindId &kind) const;
    const TeamQuota *findTeam(const TeamId &team) const;
    const KindPolicy *policyOf(KindIndex kind) const;

    const KindIndex *findKindIndex(const KindId &kind) const { return kinds_.find(kind); }
    const TeamIndex *findTeamIndex(const TeamId &team) const { return teams_.find(team); }
    KindIndex kindIndex(const KindId &kind) { return kinds_.indexOf(kind); }
    TeamIndex teamIndex(const TeamId &team) { return teams_.indexOf(team); }
    const Preset &preset() const { return preset_; }

private:
    static constexpr std::size_t absent = SIZE_MAX;

    Preset preset_;
    Interner<KindId, KindIndex> kinds_;
    Interner<TeamId, TeamIndex> teams_;
    /// Position in the preset for each dense index.
    std::vector<std::size_t> kindPositions_;
    std::vector<std::size_t> teamPositions_;
};

} // namespace caraway
