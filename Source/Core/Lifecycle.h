#pragma once

#include "Core/EmbeddedCharts.h"
#include "Core/StateChart.h"

#include <fmt/format.h>

#include <concepts>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace caraway {

/// A chart bound to the member functions of the host type that implement its guards and
/// actions. All state machines of a host type share one.
template<class Host>
struct BoundChart
{
    std::string_view fileName;
    std::vector<std::string_view> states;
    std::vector<std::string_view> events;
    std::vector<std::pair<std::string_view, bool (Host::*)() const>> guards;
    std::vector<std::pair<std::string_view, void (Host::*)()>> actions;
    StateChart chart = {};

    ChartVocabulary vocabulary() const
    {
        ChartVocabulary names {states, events, {}, {}};
        for (const auto &[name, function] : guards)
            names.guards.push_back(name);
        for (const auto &[name, function] : actions)
            names.actions.push_back(name);
        return names;
    }

    /// Reads the embedded chart file. Fails with InvalidChart if the file is not embedded or uses
    /// a name that the code does not declare.
    Result<void> load()
    {
        for (const EmbeddedChart &embedded : embeddedCharts()) {
            if (embedded.fileName != fileName)
                continue;
            BOOST_LEAF_ASSIGN(chart, StateChart::load(embedded.text, fileName, vocabulary()));
            return {};
        }
        return fail(ErrorKind::InvalidChart,
                    fmt::format("The chart {} is not embedded in the binary. Add it to the "
                                "directory Charts.",
                                fileName));
    }

    /// Loads the chart. An error is a build defect: prints it and aborts the process.
    BoundChart &&loadedOrAbort() &&
    {
        recoverFrom([this]() { return load(); },
                    [](const Error &error) {
                        fmt::print(stderr, "{}\n", error.message);
                        std::abort();
                    });
        return std::move(*this);
    }
};

/// A type whose state machine is defined by a chart: it has the enumerations State and Event,
/// with the enumerators in the order of the names in its BoundChart, and the static function
/// chart().
template<class Host>
concept HasStateChart = requires
{
    typename Host::State;
    typename Host::Event;
    {
        Host::chart()
        } -> std::same_as<const BoundChart<Host> &>;
};

/// A state machine that interprets the chart of its host type. Its only member is the current
/// state.
template<class Host>
class Lifecycle
{
public:
    using State = typename Host::State;
    using Event = typename Host::Event;

    Lifecycle()
        : state_(Host::chart().chart.initialState())
    {
    }

    /// Runs the entry actions of the initial state.
    void start(Host &host) { runActions(host, Host::chart().chart.initialActions()); }

    /// Executes the first transition for \a event whose guard is true; returns false if the
    /// current state has none.
    bool handle(Host &host, Event event)
    {
        const BoundChart<Host> &bound = Host::chart();
        for (const StateChart::Transition &transition :
             bound.chart.transitions(state_, static_cast<StateChart::Index>(event))) {
            if (!isGuardTrue(host, transition))
                continue;
            // The state is updated before the actions run, because an action may call handle().
            if (transition.target != StateChart::none)
                state_ = transition.target;
            runActions(host, transition.actions);
            return true;
        }
        return false;
    }

    bool isIn(State state) const
    {
        return Host::chart().chart.isWithin(state_, static_cast<StateChart::Index>(state));
    }
    bool isFinal() const { return Host::chart().chart.isFinal(state_); }
    const std::string &stateName() const { return Host::chart().chart.stateName(state_); }

private:
    static bool isGuardTrue(const Host &host, const StateChart::Transition &transition)
    {
        if (transition.guard == StateChart::none)
            return true;
        const auto function = Host::chart().guards[transition.guard].second;
        return (host.*function)() != transition.guardNegated;
    }

    static void runActions(Host &host, const std::vector<StateChart::Index> &actions)
    {
        for (const StateChart::Index action : actions) {
            const auto function = Host::chart().actions[action].second;
            (host.*function)();
        }
    }

    StateChart::Index state_;
};

} // namespace caraway
