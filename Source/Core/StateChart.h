#pragma once

#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caraway {

/// The names that a chart may use, as declared in the code. A name is resolved to its index in
/// the list.
struct ChartVocabulary
{
    std::vector<std::string_view> states;
    std::vector<std::string_view> events;
    std::vector<std::string_view> guards;
    std::vector<std::string_view> actions;
};

/// A state chart read from SCXML, checked against a vocabulary and resolved into a transition
/// table.
///
/// The supported subset of SCXML: scxml, state, final, initial attributes, nested states,
/// transition with event, cond and target, onentry and onexit, and `<script>name</script>` as a
/// named action. A condition is a guard's name, or `!` and a guard's name.
class StateChart
{
public:
    using Index = std::uint16_t;
    static constexpr Index none = 0xFFFF;

    /// A transition of a leaf state on an event, resolved to indexes. The actions include the exit
    /// and entry actions of the states that it leaves and enters. A transition without a target
    /// does not change the state.
    struct Transition
    {
        Index guard = none;
        bool guardNegated = false;
        Index target = none;
        std::vector<Index> actions;
    };

    /// Reads and checks a chart. Fails with InvalidChart; the message states the file, the state
    /// and the remedy.
    static Result<StateChart> load(std::string_view xml, std::string_view fileName,
                                   const ChartVocabulary &vocabulary);

    Index initialState() const { return initialState_; }
    const std::vector<Index> &initialActions() const { return initialActions_; }
    /// The transitions of the leaf state \a state on \a event: its own in document order, then
    /// those of its ancestors.
    const std::vector<Transition> &transitions(Index state, Index event) const
    {
        return transitions_[state * eventCount_ + event];
    }
    /// Whether \a state is \a ancestor or one of its descendants.
    bool isWithin(Index state, Index ancestor) const;
    bool isFinal(Index state) const { return nodes_[state].isFinal; }
    const std::string &stateName(Index state) const { return nodes_[state].name; }

    /// The chart as a graph in the DOT language of Graphviz.
    std::string toGraphviz() const;

private:
    friend class StateChartReader;

    /// A transition as written in the file.
    struct ParsedTransition
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
        std::vector<ParsedTransition> transitions;
    };

    std::string name_;
    std::vector<Node> nodes_;
    /// Indexed by state * eventCount_ + event.
    std::vector<std::vector<Transition>> transitions_;
    std::vector<Index> initialActions_;
    std::size_t eventCount_ = 0;
    Index initialState_ = none;
};

} // namespace caraway
