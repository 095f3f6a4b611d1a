#pragma once

#include "Core/StateChart.h"

#include <string>
#include <string_view>
#include <vector>

namespace pugi {
class xml_node;
}

namespace caraway {

/// Builds a StateChart from SCXML in three passes: states, transitions, transition table.
class StateChartReader
{
public:
    StateChartReader(std::string_view fileName, const ChartVocabulary &vocabulary);

    Result<StateChart> read(std::string_view xml);

private:
    using Index = StateChart::Index;

    Result<void> addStates(const pugi::xml_node &parent, Index parentState);
    Result<void> addState(const pugi::xml_node &element, Index parentState);
    Result<void> addTransitions(const pugi::xml_node &parent);
    Result<void> addTransition(const pugi::xml_node &element, Index source);
    Result<void> resolveInitialStates(const pugi::xml_node &root);
    Result<void> resolveInitialChildren(const pugi::xml_node &parent);
    Result<void> checkDeclaredStatesExist();
    Result<void> checkReachability();
    Result<void> buildTransitionTable();
    Result<StateChart::Transition> resolveTransition(const StateChart::ParsedTransition &parsed,
                                                     Index leaf);

    Result<std::vector<Index>> readActions(const pugi::xml_node &block, std::string_view state);
    /// Index of \a name in \a names; \a what and \a state describe it in the error.
    Result<Index> indexOf(std::string_view what, std::string_view name,
                          const std::vector<std::string_view> &names, std::string_view state);
    /// The leaf that is entered with \a state, by its initial children.
    Index initialLeafOf(Index state) const;
    /// Innermost proper ancestor of both \a source and \a target; none if there is none.
    Index commonAncestor(Index source, Index target) const;
    /// Appends the entry actions on the path from below \a from to \a leaf, outermost first.
    void appendEntryActions(Index from, Index leaf, std::vector<Index> &actions) const;
    bool hasChildren(Index state) const;
    /// The transitions of \a leaf and then those of its ancestors, innermost first.
    std::vector<StateChart::ParsedTransition> transitionsOf(Index leaf) const;
    boost::leaf::error_id failAt(std::string_view state, std::string_view problem,
                                 std::string_view remedy) const;

    std::string_view fileName_;
    const ChartVocabulary &vocabulary_;
    StateChart chart_;
};

} // namespace caraway
