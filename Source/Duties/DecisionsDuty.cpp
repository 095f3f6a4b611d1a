#include "Duties/DecisionsDuty.h"

namespace caraway {

DecisionsDuty::DecisionsDuty(const ServeSettings &settings)
    : events_(static_cast<std::size_t>(settings.eventRing))
    , instance_(settings.decisions)
    , audit_(settings.decisions.self, static_cast<std::size_t>(settings.outwardRing))
    , store_(events_, clock_, settings)
    , configuration_(events_, settings)
    , upstreams_(events_, clock_, settings)
    , peers_(events_, settings)
    , callers_(events_, ready_, settings)
    , list_(events_, settings)
    , presetWatch_(events_, settings)
    , timer_(events_, settings.tick)
{
}

void DecisionsDuty::run()
{
    while (const std::optional<Event> event = events_.take()) {
        Actions actions = instance_.handle(clock_.now(), *event);
        ready_ = instance_.isReady();
        for (Action &action : actions)
            std::visit([this](auto &body) { carryOut(body); }, action);
    }
}

void DecisionsDuty::carryOut(CallConfiguration &action)
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
                             "Too many calls wait for the store, and nothing was changed. "
                             "Try again later."}});
}

} // namespace caraway
