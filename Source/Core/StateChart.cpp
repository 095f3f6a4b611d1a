#include "Core/StateChart.h"

#include <fmt/format.h>

namespace caraway {

bool StateChart::isWithin(Index state, Index ancestor) const
{
    for (Index s = state; s != none; s = nodes_[s].parent) {
        if (s == ancestor)
            return true;
    }
    return false;
}

std::string StateChart::toGraphviz() const
{
    std::string drawing = fmt::format("digraph \"{}\" {{\n  rankdir=LR;\n", name_);
    for (const Node &node : nodes_) {
        drawing += fmt::format("  \"{}\" [shape={}];\n", node.name,
                               node.isFinal ? "doublecircle" : "box");
        if (node.parent != none) {
            drawing += fmt::format("  \"{}\" -> \"{}\" [style=dotted, arrowhead=none];\n",
                                   nodes_[node.parent].name, node.name);
        }
    }
    for (const Node &node : nodes_) {
        for (const Edge &edge : node.edges) {
            const std::string guard
                    = edge.condition.empty() ? "" : fmt::format(" [{}]", edge.condition);
            const Index target = edge.target == none ? edge.source : edge.target;
            drawing += fmt::format("  \"{}\" -> \"{}\" [label=\"{}{}\"];\n", node.name,
                                   nodes_[target].name, edge.event, guard);
        }
    }
    return drawing + "}\n";
}

} // namespace caraway
