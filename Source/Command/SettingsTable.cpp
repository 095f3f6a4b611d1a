#include "Command/SettingsTable.h"

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

TextKey text(auto store)
{
    return TextKey {store};
}

EndpointKey endpoint(Endpoint ServeSettings::*member)
{
    return EndpointKey {[member](ServeSettings &s, const Endpoint &e) { s.*member = e; }};
}

NumberKey count(std::int64_t ServeSettings::*member, std::int64_t least, std::int64_t most)
{
    return {least, most, ServeSettings().*member,
            [member](ServeSettings &s, std::int64_t n) { s.*member = n; }};
}

template<class Unit>
NumberKey quantity(Quantity<Unit> ServeSettings::*member, std::int64_t least, std::int64_t most)
{
    return {least, most, (ServeSettings().*member).count(),
            [member](ServeSettings &s, std::int64_t n) { s.*member = Quantity<Unit>(n); }};
}

NumberKey duration(Milliseconds DecisionSettings::*member, std::int64_t least, std::int64_t most)
{
    return {least, most, (DecisionSettings().*member).count(),
            [member](ServeSettings &s, std::int64_t n) { s.decisions.*member = Milliseconds(n); }};
}

std::vector<SettingsKey> leaseKeys()
{
    using D = DecisionSettings;
    return {
            {"timing", "shard_lease_ms", "ms", "How long a shard lease lasts unrenewed.",
             duration(&D::shardLease, 500, 60'000)},
            {"timing", "shard_renewal_ms", "ms", "Interval between renewals of a shard lease.",
             duration(&D::shardRenewal, 50, 20'000)},
            {"timing", "shard_read_ms", "ms", "Interval between readings of the shard records.",
             duration(&D::shardRead, 50, 20'000)},
            {"timing", "lease_margin_ms", "ms", "Taken off a lease for clocks of unlike rates.",
             duration(&D::leaseMargin, 0, 10'000)},
            {"timing", "promise_ms", "ms", "How long a candidate keeps a promise not to claim.",
             duration(&D::promise, 500, 60'000)},
            {"timing", "promise_interval_ms", "ms", "Interval between requests for promises.",
             duration(&D::promiseInterval, 50, 20'000)},
    };
}

std::vector<SettingsKey> makeTable()
{
    using S = ServeSettings;
    using D = DecisionSettings;
    std::vector<SettingsKey> table = {
            {"instance", "id", "", "Name of this entry instance in the platform's instance list.",
             text([](S &s, const std::string &t) { s.decisions.self = InstanceId(t); })},
            {"instance", "zone", "", "Availability zone this instance runs in.",
             text([](S &s, const std::string &t) { s.decisions.zone = ZoneId(t); })},
            {"instance", "callers", "host:port", "Where callers and workers reach this instance.",
             endpoint(&S::callers)},
            {"instance", "peers", "host:port", "Where the other entry instances reach this one.",
             endpoint(&S::peers)},
            {"platform", "store", "host:port", "The platform's key-value service.",
             endpoint(&S::store)},
            {"platform", "instance_list", "host:port", "The platform's list of instances.",
             endpoint(&S::instanceList)},
            {"platform", "list_read_ms", "ms", "Interval between readings of the instance list.",
             quantity(&S::listRead, 50, 10'000)},
            {"platform", "store_timeout_ms", "ms", "Longest wait for one call to the store.",
             quantity(&S::storeTimeout, 50, 10'000)},
            {"limits", "caller_threads", "threads", "Requests served at the same time.",
             count(&S::callerThreads, 2, 512)},
            {"limits", "upstream_threads", "threads", "Threads that call workers.",
             count(&S::upstreamThreads, 1, 128)},
            {"limits", "breaker_failures", "calls",
             "Calls in a row without an answer that open a worker's breaker; 0 for never.",
             count(&S::breakerFailures, 0, 100)},
            {"limits", "event_ring", "events", "Events that may wait for the decisions.",
             count(&S::eventRing, 64, 1'000'000)},
            {"limits", "outward_ring", "messages", "Messages that may wait for each duty.",
             count(&S::outwardRing, 64, 1'000'000)},
            {"limits", "request_body_bytes", "bytes", "Largest request body.",
             quantity(&S::maxRequestBody, 1024, 64 << 20)},
            {"timing", "tick_ms", "ms", "Interval between rounds of the decisions.",
             quantity(&S::tick, 5, 1000)},
            {"timing", "worker_timeout_ms", "ms", "Longest wait for one call to a worker.",
             quantity(&S::workerTimeout, 50, 60'000)},
            {"platform", "list_lag_ms", "ms", "How far the instance list may lag behind.",
             duration(&D::listLag, 0, 60'000)},
            {"platform", "list_age_ms", "ms", "Oldest reading of the list that leases rest on.",
             duration(&D::listAge, 200, 60'000)},
            {"timing", "task_lease_ms", "ms", "How long a task runs on without a heartbeat.",
             duration(&D::taskLease, 500, 600'000)},
            {"timing", "renewal_grace_ms", "ms",
             "How long a holder renews task leases past its shard lease.",
             duration(&D::renewalGrace, 500, 600'000)},
            {"timing", "worker_heartbeat_ms", "ms", "Interval between heartbeats to a worker.",
             duration(&D::workerHeartbeat, 50, 60'000)},
            {"timing", "peer_heartbeat_ms", "ms", "Interval between heartbeats to a peer.",
             duration(&D::peerHeartbeat, 50, 10'000)},
            {"timing", "preset_watch_ms", "ms", "How long one watch of the preset in force waits.",
             quantity(&S::presetWatch, 100, 10'000)},
            {"timing", "answer_retention_ms", "ms", "How long answers are kept for their callers.",
             duration(&D::answerRetention, 1000, 86'400'000)},
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
