#pragma once

#include "Core/StateChart.h"

#include <string>
#include <string_view>
#include <vector>

namespace pugi {
class xml_node;
}

namespace caraway {

/// Builds a StateChart from SCXML in three passes: states, transitions, tables.
class StateChartReader
{
public:
    StateChartReader(std::string_view fileName, const ChartVocabulary &vocabulary);

    Result<StateChart> read(std::string_view xml);

private:
    using Index = StateChart::Index;

    Result<void> addStates(const pugi::xml_node &parent, Index parentState);
    Result<void> addState(const pugi::xml_node &element, Index parentState);
    Result<void> addEdges(const pugi::xml_node &parent);
    Result<void> addEdge(const pugi::xml_node &element, Index source);
    Result<void> resolveInitialStates(const pugi::xml_node &root);
    Result<void> resolveInitialChildren(const pugi::xml_node &parent);
    Result<void> checkDeclaredStatesExist();
    Result<void> checkReachability();
    Result<void> buildTable();
    Result<StateChart::Step> makeStep(const StateChart::Edge &edge, Index leaf);

    Result<std::vector<Index>> readActions(const pugi::xml_node &block, std::string_view state);
    Result<Index> lookUp(std::string_view what, std::string_view name,
                         const std::vector<std::string_view> &names, std::string_view state);
    Index firstLeafIn(Index state) const;
    Index commonAncestor(Index source, Index target) const;
    void appendEntryActions(Index from, Index leaf, std::vector<Index> &actions) const;
    bool hasChildren(Index state) const;
    std::vector<StateChart::Edge> edgesSeenFrom(Index leaf) const;
    boost::leaf::error_id failAt(std::string_view state, std::string_view problem,
                                 std::string_view remedy) const;

    std::string_view fileName_;
    const ChartVocabulary &vocabulary_;
    StateChart chart_;
};

} // namespace caraway
