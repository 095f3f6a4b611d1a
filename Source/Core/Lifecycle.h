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

/// A chart with the functions of the host type that it names. One serves all machines of a type.
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

    /// Reads the embedded chart file; the error says what in it the code does not declare.
    Result<void> load()
    {
        for (const EmbeddedChart &embedded : embeddedCharts()) {
            if (embedded.fileName != fileName)
                continue;
            BOOST_LEAF_ASSIGN(chart, StateChart::load(embedded.text, fileName, vocabulary()));
            return {};
        }
        return fail(ErrorKind::InvalidChart,
                    fmt::format("The chart {} is not in the binary. Add it to the folder Charts.",
                                fileName));
    }

    /// Loads a chart that must be right in a released binary; ends the process otherwise.
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

/// A type whose lifecycle a chart governs: it has enumerations State and Event, in the order
/// of the names in its chart, and the static function chart().
template<class Host>
concept ChartHost = requires
{
    typename Host::State;
    typename Host::Event;
    {
        Host::chart()
        } -> std::same_as<const BoundChart<Host> &>;
};

/// One machine that runs the chart of its host. It holds no more than its state.
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

    /// Takes the first step whose guard holds; false when the chart has none for \a event here.
    bool handle(Host &host, Event event)
    {
        const BoundChart<Host> &bound = Host::chart();
        for (const StateChart::Step &step :
             bound.chart.steps(state_, static_cast<StateChart::Index>(event))) {
            if (!guardHolds(host, step))
                continue;
            // The state is set first, so that an action may raise the next event.
            if (step.target != StateChart::none)
                state_ = step.target;
            runActions(host, step.actions);
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
    static bool guardHolds(const Host &host, const StateChart::Step &step)
    {
        if (step.guard == StateChart::none)
            return true;
        const auto function = Host::chart().guards[step.guard].second;
        return (host.*function)() != step.guardNegated;
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
