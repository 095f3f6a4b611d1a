#include "Cell/ConfigurationExchange.h"

namespace caraway::cell {

namespace {

/// Longer than the interval between two lists, so that instances that the store serves do not ask.
constexpr Milliseconds maxAge {1200};
constexpr Milliseconds requestInterval {300};

} // namespace

bool ConfigurationExchange::isRequestDue() const
{
    const CellConfiguration *current = configuration_.current();
    return current && current->hasAccounts && context_.now() - configuration_.confirmedAt() > maxAge
            && context_.now() - requestedAt_ >= requestInterval;
}

void ConfigurationExchange::request(const Address &peer)
{
    requestedAt_ = context_.now();
    context_.send(peer, PeerConfigurationRequest {++lastNumber_, configuration_.version()});
}

void ConfigurationExchange::onRequest(const Address &from, const PeerConfigurationRequest &request)
{
    const CellConfiguration *current = configuration_.current();
    if (!current)
        return;
    PeerConfigurationReply reply;
    reply.number = request.number;
    reply.version = current->version;
    reply.age = context_.now() - configuration_.confirmedAt();
    if (request.known < current->version)
        reply.configuration = *current;
    context_.send(from, std::move(reply));
}

void ConfigurationExchange::onReply(const PeerConfigurationReply &reply)
{
    // An earlier reply would confirm the version at the time of a later request.
    if (reply.number != lastNumber_)
        return;
    if (reply.configuration)
        configuration_.adopt(*reply.configuration);
    const TimePoint confirmedAt = requestedAt_ - reply.age;
    configuration_.confirm(reply.version, confirmedAt);
    context_.log("event=configuration_confirmed_by_peer version={} in_force={} age_ms={}",
                 reply.version.value(), configuration_.version().value(),
                 (context_.now() - configuration_.confirmedAt()).count());
}

} // namespace caraway::cell
