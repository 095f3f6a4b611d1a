#include "Duties/StoreClient.h"

#include "Messages/StoreCodec.h"

#include <fmt/format.h>

namespace caraway {

namespace {

enum HttpStatus { Ok = 200, NotFound = 404, ConflictStatus = 409 };
constexpr int firstServerError = 500;

} // namespace

StoreClient::StoreClient(const Endpoint &store, Milliseconds timeout, MetricsDuty &metrics)
    : client_(makeHttpClient(store, timeout))
    , metrics_(metrics)
{
}

void StoreClient::recordMetrics(const char *call, const Stopwatch &stopwatch,
                                const httplib::Result &response)
{
    metrics_.count(Metric::StoreCalls, call);
    metrics_.offer({Metric::StoreCallSeconds, stopwatch.seconds(), call});
    if (!response || response->status >= firstServerError)
        metrics_.count(Metric::StoreFailures, call);
}

StoreReadResult StoreClient::get(const std::string &path, const char *call)
{
    const Stopwatch stopwatch;
    const httplib::Result response = client_->Get(path);
    recordMetrics(call, stopwatch, response);
    if (response && response->status == Ok)
        return {StoreOutcome::Done, response->body};
    if (response && response->status == NotFound)
        return {StoreOutcome::Done, std::nullopt};
    return {};
}

StoreReadResult StoreClient::read(const std::string &key)
{
    return get("/kv?key=" + key, "read");
}

StoreReadResult StoreClient::readRange(const std::string &prefix)
{
    return get("/range?prefix=" + prefix, "range");
}

StoreReadResult StoreClient::watch(const std::string &prefix, Revision after, Milliseconds wait)
{
    return get(fmt::format("/watch?prefix={}&after={}&wait_ms={}", prefix, after.value(),
                           wait.count()),
               "watch");
}

StoreWriteResult StoreClient::compareAndSet(const std::string &key, Revision expected,
                                            const std::string &value)
{
    const std::string path = fmt::format("/kv?key={}&expect={}", key, expected.value());
    const Stopwatch stopwatch;
    const httplib::Result response = client_->Put(path, value, "application/json");
    recordMetrics("write", stopwatch, response);
    if (response && response->status == ConflictStatus)
        return {StoreOutcome::Conflict, {}};
    if (!response || response->status != Ok)
        return {};
    return recoverFrom(
            [&]() -> Result<StoreWriteResult> {
                BOOST_LEAF_AUTO(revision, decodeNewRevision(response->body));
                return StoreWriteResult {StoreOutcome::Done, revision};
            },
            [](const Error & /*error*/) { return StoreWriteResult {}; });
}

} // namespace caraway
