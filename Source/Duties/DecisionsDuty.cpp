#include "Duties/DecisionsDuty.h"

#include "Core/Stopwatch.h"

namespace caraway {

DecisionsDuty::DecisionsDuty(const ServeSettings &settings)
    : events_(static_cast<std::size_t>(settings.eventRingCapacity))
    , instance_(settings.decisions)
    , metrics_(static_cast<std::size_t>(settings.eventRingCapacity))
    , log_(settings.decisions.self, static_cast<std::size_t>(settings.outwardRingCapacity))
    , store_(events_, clock_, settings, metrics_)
    , configuration_(events_, settings, metrics_)
    , upstreams_(events_, clock_, settings, metrics_)
    , peers_(events_, clock_, settings, metrics_)
    , callers_(events_, ready_, settings, metrics_)
    , instanceList_(events_, clock_, settings)
    , presetWatch_(events_, settings, metrics_)
    , timer_(events_, settings.tickInterval)
{
}

void DecisionsDuty::run()
{
    while (const std::optional<Event> event = events_.take()) {
        Actions actions = decide(*event);
        ready_ = instance_.isReady();
        for (Action &action : actions)
            std::visit([this](auto &body) { execute(body); }, action);
        // Requests received before new ones were refused are still answered.
        if (isExiting_ && !callers_.hasOpenRequests())
            events_.close();
    }
}

Actions DecisionsDuty::decide(const Event &event)
{
    const Stopwatch stopwatch;
    Actions actions = instance_.handle(clock_.now(), event);
    metrics_.count(Metric::EventsHandled);
    metrics_.offer({Metric::DecisionSeconds, stopwatch.seconds(), {}});
    return actions;
}

void DecisionsDuty::execute(ExitProcess & /*action*/)
{
    isExiting_ = true;
    callers_.refuseNewRequests();
}

void DecisionsDuty::execute(CallConfiguration &action)
{
    const RequestId request = std::visit(
            [](const auto &body) {
                if constexpr (requires { body.request; })
                    return body.request;
                else
                    return RequestId();
            },
            action.body);
    if (configuration_.offer(std::move(action)) || request == RequestId())
        return;
    callers_.deliver({request,
                      Error {ErrorKind::Unavailable,
                             "Too many store calls are queued, and nothing was changed. "
                             "Try again later."}});
}

} // namespace caraway
