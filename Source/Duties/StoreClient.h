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

/// How a compare-and-swap ended, and the revision that it wrote.
struct StoreWrite
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    Revision revision;
};

/// How a reading ended; Done without a body means that there is no such key.
struct StoreRead
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::optional<std::string> body;
};

/// What \a decode makes of the body; nothing when there is no body or it cannot be decoded.
template<class Decode>
auto decodeIfDone(const StoreRead &read, Decode &&decode)
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

/// One connection to the platform's key-value store, for one thread.
class StoreClient
{
public:
    /// Every call ends within \a timeout.
    StoreClient(const Endpoint &store, Milliseconds timeout, MetricsDuty &metrics);

    StoreRead read(const std::string &key);
    StoreRead readRange(const std::string &prefix);
    /// Returns when something under \a prefix is newer than \a after, or after \a wait, which
    /// has to be shorter than the connection's timeout.
    StoreRead watch(const std::string &prefix, Revision after, Milliseconds wait);
    /// Writes \a value if the key still has the revision \a expected; 0 stands for no key.
    StoreWrite compareAndSwap(const std::string &key, Revision expected, const std::string &value);

private:
    StoreRead get(const std::string &path, const char *call);
    void measure(const char *call, const Stopwatch &stopwatch, const httplib::Result &response);

    std::unique_ptr<httplib::Client> client_;
    MetricsDuty &metrics_;
};

} // namespace caraway
