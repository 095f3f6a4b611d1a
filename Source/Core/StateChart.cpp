#include "Core/StateChart.h"

#include <fmt/format.h>

namespace caraway {

bool StateChart::isWithin(Index state, Index ancestor) const
{
    for (Index current = state; current != none; current = nodes_[current].parent) {
        if (current == ancestor)
            return true;
    }
    return false;
}

std::string StateChart::toGraphviz() const
{
    std::string graph = fmt::format("digraph \"{}\" {{\n  rankdir=LR;\n", name_);
    for (const Node &node : nodes_) {
        graph += fmt::format("  \"{}\" [shape={}];\n", node.name,
                             node.isFinal ? "doublecircle" : "box");
        if (node.parent != none) {
            graph += fmt::format("  \"{}\" -> \"{}\" [style=dotted, arrowhead=none];\n",
                                 nodes_[node.parent].name, node.name);
        }
    }
    for (const Node &node : nodes_) {
        for (const ParsedTransition &transition : node.transitions) {
            const std::string guard = transition.condition.empty()
                    ? ""
                    : fmt::format(" [{}]", transition.condition);
            const Index target = transition.target == none ? transition.source : transition.target;
            graph += fmt::format("  \"{}\" -> \"{}\" [label=\"{}{}\"];\n", node.name,
                                 nodes_[target].name, transition.event, guard);
        }
    }
    return graph + "}\n";
}

} // namespace caraway
