#pragma once

#include <string>

namespace caraway {

/// What is measured. The order is that of the table in Metrics.cpp.
enum class Metric {
    DecisionSeconds,
    EventsHandled,
    EventsDropped,
    TaskStarts,
    TaskWaitSeconds,
    JobsEnded,
    JobsRefused,
    StoreCalls,
    StoreCallSeconds,
    StoreFailures,
    PeerFramesSent,
    PeerBytesSent,
    PeerFramesReceived,
    PeerBytesReceived,
    WorkerCalls,
    WorkerCallSeconds,
    WorkerFailures,
    CallerRequests,
};

/// One observation: a step of a counter, or a value of a distribution.
struct Sample
{
    Metric metric = Metric::EventsHandled;
    double value = 1;
    /// Value of the metric's label, for example the kind of work; empty for none.
    std::string label;
};

} // namespace caraway
