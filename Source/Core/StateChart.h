#pragma once

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The names that code declares to a chart; each becomes its position in the list.
struct ChartVocabulary
{
    std::vector<std::string_view> states;
    std::vector<std::string_view> events;
    std::vector<std::string_view> guards;
    std::vector<std::string_view> actions;
};

/// A state chart read from SCXML, checked against a vocabulary and resolved into tables.
///
/// The subset: scxml, state, final, initial attributes, nested states, transition with
/// event, cond and target, onentry and onexit, and `<script>name</script>` as a named action.
/// A condition is a guard's name, or `!` and a guard's name.
class StateChart
{
public:
    using Index = std::uint16_t;
    static constexpr Index none = 0xFFFF;

    /// One candidate for a pair of leaf state and event, in document order.
    struct Step
    {
        Index guard = none;
        bool guardNegated = false;
        Index target = none;
        std::vector<Index> actions;
    };

    /// Reads and checks a chart; the error names the file, the state and the remedy.
    static Result<StateChart> load(std::string_view xml, std::string_view fileName,
                                   const ChartVocabulary &vocabulary);

    Index initialState() const { return initial_; }
    const std::vector<Index> &initialActions() const { return initialActions_; }
    /// The candidate steps of \a state, a leaf, on \a event.
    const std::vector<Step> &steps(Index state, Index event) const
    {
        return table_[state * eventCount_ + event];
    }
    /// Whether \a state is \a ancestor or lies inside it.
    bool isWithin(Index state, Index ancestor) const;
    bool isFinal(Index state) const { return nodes_[state].isFinal; }
    const std::string &stateName(Index state) const { return nodes_[state].name; }

    /// The chart as a Graphviz drawing.
    std::string toGraphviz() const;

private:
    friend class StateChartReader;

    struct Edge
    {
        Index source = none;
        std::string event;
        std::string condition;
        Index target = none;
        std::vector<Index> actions;
    };
    struct Node
    {
        std::string name;
        Index parent = none;
        Index initialChild = none;
        bool isFinal = false;
        std::vector<Index> entryActions;
        std::vector<Index> exitActions;
        std::vector<Edge> edges;
    };

    std::string name_;
    std::vector<Node> nodes_;
    std::vector<std::vector<Step>> table_;
    std::vector<Index> initialActions_;
    std::size_t eventCount_ = 0;
    Index initial_ = none;
};

} // namespace caraway
