#include "Command/SettingsTable.h"

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

StringKey stringKey(auto assign)
{
    return StringKey {assign};
}

EndpointKey endpointKey(Endpoint ServeSettings::*member)
{
    return EndpointKey {[member](ServeSettings &s, const Endpoint &e) { s.*member = e; }};
}

IntegerKey countKey(std::int64_t ServeSettings::*member, std::int64_t minimum, std::int64_t maximum)
{
    return {minimum, maximum, ServeSettings().*member,
            [member](ServeSettings &s, std::int64_t n) { s.*member = n; }};
}

template<class Unit>
IntegerKey quantityKey(Quantity<Unit> ServeSettings::*member, std::int64_t minimum,
                       std::int64_t maximum)
{
    return {minimum, maximum, (ServeSettings().*member).count(),
            [member](ServeSettings &s, std::int64_t n) { s.*member = Quantity<Unit>(n); }};
}

IntegerKey durationKey(Milliseconds DecisionSettings::*member, std::int64_t minimum,
                       std::int64_t maximum)
{
    return {minimum, maximum, (DecisionSettings().*member).count(),
            [member](ServeSettings &s, std::int64_t n) { s.decisions.*member = Milliseconds(n); }};
}

std::vector<SettingsKey> leaseKeys()
{
    using D = DecisionSettings;
    return {
            {"timing", "shard_lease_ms", "ms", "Duration of a shard lease after each renewal.",
             durationKey(&D::shardLease, 500, 60'000)},
            {"timing", "shard_renewal_ms", "ms", "Interval between renewals of a shard lease.",
             durationKey(&D::shardRenewal, 50, 20'000)},
            {"timing", "shard_read_ms", "ms", "Interval between reads of the shard records.",
             durationKey(&D::shardRead, 50, 20'000)},
            {"timing", "lease_margin_ms", "ms",
             "Subtracted from a lease to allow for clocks that run at different rates.",
             durationKey(&D::leaseMargin, 0, 10'000)},
            {"timing", "promise_ms", "ms",
             "Duration of a candidate's promise not to claim a shard.",
             durationKey(&D::promise, 500, 60'000)},
            {"timing", "promise_interval_ms", "ms", "Interval between promise request rounds.",
             durationKey(&D::promiseInterval, 50, 20'000)},
    };
}

std::vector<SettingsKey> makeTable()
{
    using S = ServeSettings;
    using D = DecisionSettings;
    std::vector<SettingsKey> table = {
            {"instance", "id", "", "Id of this entry instance in the platform's instance list.",
             stringKey([](S &s, const std::string &t) { s.decisions.self = InstanceId(t); })},
            {"instance", "zone", "", "Availability zone of this instance.",
             stringKey([](S &s, const std::string &t) { s.decisions.zone = ZoneId(t); })},
            {"instance", "callers", "host:port", "Address that callers and workers connect to.",
             endpointKey(&S::callerEndpoint)},
            {"instance", "peers", "host:port", "Address that other entry instances connect to.",
             endpointKey(&S::peerEndpoint)},
            {"platform", "store", "host:port", "Address of the platform's key-value store.",
             endpointKey(&S::storeEndpoint)},
            {"platform", "instance_list", "host:port", "Address of the instance list service.",
             endpointKey(&S::instanceListEndpoint)},
            {"platform", "list_read_ms", "ms", "Interval between reads of the instance list.",
             quantityKey(&S::listReadInterval, 50, 10'000)},
            {"platform", "store_timeout_ms", "ms", "Timeout of a store call.",
             quantityKey(&S::storeTimeout, 50, 10'000)},
            {"limits", "caller_threads", "threads", "Maximum number of concurrent caller requests.",
             countKey(&S::callerThreads, 2, 512)},
            {"limits", "upstream_threads", "threads", "Number of threads that call workers.",
             countKey(&S::upstreamThreads, 1, 128)},
            {"limits", "breaker_failures", "calls",
             "Consecutive unanswered calls that open a worker's circuit breaker; 0 disables it.",
             countKey(&S::breakerFailures, 0, 100)},
            {"limits", "event_ring", "events", "Capacity of the event ring of the decisions duty.",
             countKey(&S::eventRingCapacity, 64, 1'000'000)},
            {"limits", "outward_ring", "messages", "Capacity of the ring to each other duty.",
             countKey(&S::outwardRingCapacity, 64, 1'000'000)},
            {"limits", "request_body_bytes", "bytes", "Maximum size of a request body.",
             quantityKey(&S::maxRequestBody, 1024, 64 << 20)},
            {"timing", "tick_ms", "ms", "Interval between timer events of the decisions duty.",
             quantityKey(&S::tickInterval, 5, 1000)},
            {"timing", "worker_timeout_ms", "ms", "Timeout of a call to a worker.",
             quantityKey(&S::workerTimeout, 50, 60'000)},
            {"platform", "list_lag_ms", "ms", "Assumed maximum lag of the instance list.",
             durationKey(&D::listLag, 0, 60'000)},
            {"platform", "list_age_ms", "ms",
             "Maximum age of an instance list on which shard ownership is based.",
             durationKey(&D::listAge, 200, 60'000)},
            {"timing", "task_lease_ms", "ms", "How long a task keeps running without a heartbeat.",
             durationKey(&D::taskLease, 500, 600'000)},
            {"timing", "renewal_grace_ms", "ms",
             "How long a holder keeps renewing task leases after its shard lease has expired.",
             durationKey(&D::renewalGrace, 500, 600'000)},
            {"timing", "worker_heartbeat_ms", "ms", "Interval between heartbeats to a worker.",
             durationKey(&D::workerHeartbeat, 50, 60'000)},
            {"timing", "peer_heartbeat_ms", "ms", "Interval between heartbeats to a peer.",
             durationKey(&D::peerHeartbeat, 50, 10'000)},
            {"timing", "preset_watch_ms", "ms", "Maximum watch duration for the preset in force.",
             quantityKey(&S::presetWatchDuration, 100, 10'000)},
            {"timing", "answer_retention_ms", "ms", "How long task answers are kept for callers.",
             durationKey(&D::answerRetention, 1000, 86'400'000)},
    };
    std::ranges::move(leaseKeys(), std::back_inserter(table));
    return table;
}

} // namespace

const std::vector<SettingsKey> &settingsTable()
{
    static const std::vector<SettingsKey> table = makeTable();
    return table;
}

} // namespace caraway
