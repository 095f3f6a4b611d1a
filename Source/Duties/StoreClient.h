#pragma once

#include "Core/Stopwatch.h"
#include "Core/Units.h"
#include "Decisions/Events.h"
#include "Duties/HttpClient.h"
#include "Duties/MetricsDuty.h"

#include <memory>
#include <optional>
#include <string>

namespace caraway {

/// Result of a compare-and-set, with the revision of the written record if it is Done.
struct StoreWriteResult
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    Revision revision;
};

/// Result of a read; Done without a body means that the key does not exist.
struct StoreReadResult
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::optional<std::string> body;
};

/// Decodes the body with \a decode; empty if there is no body or it is malformed.
template<class Decode>
auto decodeBody(const StoreReadResult &read, Decode &&decode)
{
    using Value = std::decay_t<decltype(*decode(*read.body))>;
    return recoverFrom(
            [&]() -> Result<std::optional<Value>> {
                if (!read.body)
                    return std::optional<Value>();
                BOOST_LEAF_AUTO(value, decode(*read.body));
                return std::optional<Value>(std::move(value));
            },
            [](const Error & /*error*/) { return std::optional<Value>(); });
}

/// A connection to the platform's key-value store, for use by one thread.
class StoreClient
{
public:
    /// Connecting, each read and each write end within \a timeout.
    StoreClient(const Endpoint &store, Milliseconds timeout, MetricsDuty &metrics);

    StoreReadResult read(const std::string &key);
    StoreReadResult readRange(const std::string &prefix);
    /// Blocks until a key that starts with \a prefix has a revision above \a after, but at most
    /// for \a wait, which must be shorter than the timeout of the connection.
    StoreReadResult watch(const std::string &prefix, Revision after, Milliseconds wait);
    /// Writes \a value if the key has the revision \a expected; 0 means that the key must not
    /// exist.
    StoreWriteResult compareAndSet(const std::string &key, Revision expected,
                                   const std::string &value);

private:
    StoreReadResult get(const std::string &path, const char *call);
    void recordMetrics(const char *call, const Stopwatch &stopwatch,
                       const httplib::Result &response);

    std::unique_ptr<httplib::Client> client_;
    MetricsDuty &metrics_;
};

} // namespace caraway
