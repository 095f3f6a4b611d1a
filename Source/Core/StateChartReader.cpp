#include "Core/StateChartReader.h"

#include <fmt/format.h>
#include <pugixml.hpp>

#include <algorithm>

namespace caraway {

namespace {

bool isStateElement(const pugi::xml_node &node)
{
    const std::string_view name = node.name();
    return name == "state" || name == "final";
}

} // namespace

Result<StateChart> StateChart::load(std::string_view xml, std::string_view fileName,
                                    const ChartVocabulary &vocabulary)
{
    return StateChartReader(fileName, vocabulary).read(xml);
}

StateChartReader::StateChartReader(std::string_view fileName, const ChartVocabulary &vocabulary)
    : fileName_(fileName)
    , vocabulary_(vocabulary)
{
    chart_.name_ = fileName;
    chart_.eventCount_ = vocabulary.events.size();
    chart_.nodes_.resize(vocabulary.states.size());
}

Result<StateChart> StateChartReader::read(std::string_view xml)
{
    pugi::xml_document document;
    const pugi::xml_parse_result parsed = document.load_buffer(xml.data(), xml.size());
    if (!parsed)
        return failAt("", parsed.description(), "Correct the XML");
    const pugi::xml_node root = document.child("scxml");
    if (!root)
        return failAt("", "the root element is not scxml", "Make scxml the root element");

    BOOST_LEAF_CHECK(addStates(root, StateChart::none));
    BOOST_LEAF_CHECK(checkDeclaredStatesExist());
    BOOST_LEAF_CHECK(resolveInitialStates(root));
    BOOST_LEAF_CHECK(addTransitions(root));
    BOOST_LEAF_CHECK(buildTransitionTable());
    BOOST_LEAF_CHECK(checkReachability());
    return std::move(chart_);
}

Result<void> StateChartReader::addStates(const pugi::xml_node &parent, Index parentState)
{
    for (const pugi::xml_node &child : parent.children()) {
        if (isStateElement(child))
            BOOST_LEAF_CHECK(addState(child, parentState));
    }
    return {};
}

Result<void> StateChartReader::addState(const pugi::xml_node &element, Index parentState)
{
    const std::string_view id = element.attribute("id").value();
    BOOST_LEAF_AUTO(index, indexOf("state", id, vocabulary_.states, id));
    StateChart::Node &node = chart_.nodes_[index];
    if (!node.name.empty())
        return failAt(id, "the state is declared twice", "Remove the duplicate");
    node.name = id;
    node.parent = parentState;
    node.isFinal = std::string_view(element.name()) == "final";
    BOOST_LEAF_ASSIGN(node.entryActions, readActions(element.child("onentry"), id));
    BOOST_LEAF_ASSIGN(node.exitActions, readActions(element.child("onexit"), id));
    return addStates(element, index);
}

Result<void> StateChartReader::checkDeclaredStatesExist()
{
    for (std::size_t i = 0; i < chart_.nodes_.size(); ++i) {
        if (chart_.nodes_[i].name.empty()) {
            return failAt(vocabulary_.states[i],
                          "the code declares this state, but the chart does not",
                          "Add the state to the chart or remove it from the code");
        }
    }
    return {};
}

Result<void> StateChartReader::resolveInitialStates(const pugi::xml_node &root)
{
    const std::string_view initial = root.attribute("initial").value();
    BOOST_LEAF_AUTO(index, indexOf("initial state", initial, vocabulary_.states, "scxml"));
    BOOST_LEAF_CHECK(resolveInitialChildren(root));
    chart_.initialState_ = initialLeafOf(index);
    appendEntryActions(StateChart::none, chart_.initialState_, chart_.initialActions_);
    return {};
}

Result<void> StateChartReader::resolveInitialChildren(const pugi::xml_node &parent)
{
    for (const pugi::xml_node &child : parent.children()) {
        if (!isStateElement(child) || !(child.child("state") || child.child("final")))
            continue;
        const std::string_view id = child.attribute("id").value();
        const std::string_view initial = child.attribute("initial").value();
        BOOST_LEAF_AUTO(state, indexOf("state", id, vocabulary_.states, id));
        BOOST_LEAF_AUTO(first, indexOf("initial state", initial, vocabulary_.states, id));
        if (first == state || !chart_.isWithin(first, state))
            return failAt(id, "its initial state is not one of its descendants",
                          "Use a state inside it");
        chart_.nodes_[state].initialChild = first;
        BOOST_LEAF_CHECK(resolveInitialChildren(child));
    }
    return {};
}

Result<void> StateChartReader::addTransitions(const pugi::xml_node &parent)
{
    for (const pugi::xml_node &child : parent.children()) {
        if (!isStateElement(child))
            continue;
        const std::string_view id = child.attribute("id").value();
        BOOST_LEAF_AUTO(source, indexOf("state", id, vocabulary_.states, id));
        for (const pugi::xml_node &transition : child.children("transition"))
            BOOST_LEAF_CHECK(addTransition(transition, source));
        BOOST_LEAF_CHECK(addTransitions(child));
    }
    return {};
}

Result<void> StateChartReader::addTransition(const pugi::xml_node &element, Index source)
{
    const std::string &state = chart_.nodes_[source].name;
    StateChart::ParsedTransition parsed;
    parsed.source = source;
    parsed.event = element.attribute("event").value();
    parsed.condition = element.attribute("cond").value();
    BOOST_LEAF_CHECK(indexOf("event", parsed.event, vocabulary_.events, state));
    if (const pugi::xml_attribute target = element.attribute("target")) {
        BOOST_LEAF_ASSIGN(parsed.target,
                          indexOf("target", target.value(), vocabulary_.states, state));
    }
    BOOST_LEAF_ASSIGN(parsed.actions, readActions(element, state));
    chart_.nodes_[source].transitions.push_back(std::move(parsed));
    return {};
}

Result<void> StateChartReader::buildTransitionTable()
{
    chart_.transitions_.resize(chart_.nodes_.size() * chart_.eventCount_);
    for (std::size_t i = 0; i < chart_.nodes_.size(); ++i) {
        const Index leaf = static_cast<Index>(i);
        if (hasChildren(leaf))
            continue;
        for (const StateChart::ParsedTransition &parsed : transitionsOf(leaf)) {
            BOOST_LEAF_AUTO(event, indexOf("event", parsed.event, vocabulary_.events, ""));
            BOOST_LEAF_AUTO(transition, resolveTransition(parsed, leaf));
            chart_.transitions_[i * chart_.eventCount_ + event].push_back(std::move(transition));
        }
    }
    return {};
}

Result<StateChart::Transition>
StateChartReader::resolveTransition(const StateChart::ParsedTransition &parsed, Index leaf)
{
    StateChart::Transition transition;
    std::string_view condition = parsed.condition;
    if (!condition.empty()) {
        transition.guardNegated = condition.front() == '!';
        if (transition.guardNegated)
            condition.remove_prefix(1);
        BOOST_LEAF_ASSIGN(
                transition.guard,
                indexOf("guard", condition, vocabulary_.guards, chart_.nodes_[parsed.source].name));
    }
    if (parsed.target == StateChart::none) {
        transition.actions = parsed.actions;
        return transition;
    }
    const Index ancestor = commonAncestor(parsed.source, parsed.target);
    for (Index state = leaf; state != ancestor; state = chart_.nodes_[state].parent) {
        const std::vector<Index> &exits = chart_.nodes_[state].exitActions;
        transition.actions.insert(transition.actions.end(), exits.begin(), exits.end());
    }
    transition.actions.insert(transition.actions.end(), parsed.actions.begin(),
                              parsed.actions.end());
    transition.target = initialLeafOf(parsed.target);
    appendEntryActions(ancestor, transition.target, transition.actions);
    return transition;
}

Result<void> StateChartReader::checkReachability()
{
    std::vector<bool> reached(chart_.nodes_.size(), false);
    std::vector<Index> pending = {chart_.initialState_};
    while (!pending.empty()) {
        const Index leaf = pending.back();
        pending.pop_back();
        if (reached[leaf])
            continue;
        for (Index state = leaf; state != StateChart::none; state = chart_.nodes_[state].parent)
            reached[state] = true;
        for (std::size_t event = 0; event < chart_.eventCount_; ++event) {
            for (const StateChart::Transition &transition :
                 chart_.transitions(leaf, static_cast<Index>(event))) {
                if (transition.target != StateChart::none)
                    pending.push_back(transition.target);
            }
        }
    }
    const auto unreached = std::find(reached.begin(), reached.end(), false);
    if (unreached == reached.end())
        return {};
    const auto index = static_cast<std::size_t>(unreached - reached.begin());
    return failAt(chart_.nodes_[index].name, "no transition reaches the state",
                  "Add a transition to it or remove it");
}

Result<std::vector<StateChart::Index>> StateChartReader::readActions(const pugi::xml_node &block,
                                                                     std::string_view state)
{
    std::vector<Index> actions;
    for (const pugi::xml_node &script : block.children("script")) {
        BOOST_LEAF_AUTO(action, indexOf("action", script.text().get(), vocabulary_.actions, state));
        actions.push_back(action);
    }
    return actions;
}

Result<StateChart::Index> StateChartReader::indexOf(std::string_view what, std::string_view name,
                                                    const std::vector<std::string_view> &names,
                                                    std::string_view state)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end())
        return static_cast<Index>(found - names.begin());
    return failAt(state, fmt::format("the {} \"{}\" is not one that the code declares", what, name),
                  fmt::format("Use one of: {}", fmt::join(names, ", ")));
}

StateChart::Index StateChartReader::initialLeafOf(Index state) const
{
    while (chart_.nodes_[state].initialChild != StateChart::none)
        state = chart_.nodes_[state].initialChild;
    return state;
}

StateChart::Index StateChartReader::commonAncestor(Index source, Index target) const
{
    Index ancestor = chart_.nodes_[source].parent;
    while (ancestor != StateChart::none
           && (ancestor == target || !chart_.isWithin(target, ancestor)))
        ancestor = chart_.nodes_[ancestor].parent;
    return ancestor;
}

void StateChartReader::appendEntryActions(Index from, Index leaf, std::vector<Index> &actions) const
{
    std::vector<Index> path;
    for (Index current = leaf; current != from && current != StateChart::none;
         current = chart_.nodes_[current].parent)
        path.push_back(current);
    std::ranges::reverse(path);
    for (const Index state : path) {
        const std::vector<Index> &entries = chart_.nodes_[state].entryActions;
        actions.insert(actions.end(), entries.begin(), entries.end());
    }
}

bool StateChartReader::hasChildren(Index state) const
{
    return chart_.nodes_[state].initialChild != StateChart::none;
}

std::vector<StateChart::ParsedTransition> StateChartReader::transitionsOf(Index leaf) const
{
    std::vector<StateChart::ParsedTransition> transitions;
    for (Index state = leaf; state != StateChart::none; state = chart_.nodes_[state].parent)
        transitions.insert(transitions.end(), chart_.nodes_[state].transitions.begin(),
                           chart_.nodes_[state].transitions.end());
    return transitions;
}

boost::leaf::error_id StateChartReader::failAt(std::string_view state, std::string_view problem,
                                               std::string_view remedy) const
{
    return fail(ErrorKind::InvalidChart,
                fmt::format("{}: state \"{}\": {}. {}.", fileName_, state, problem, remedy));
}

} // namespace caraway
