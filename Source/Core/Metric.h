#pragma once

#include <string>

namespace caraway {

/// The metrics of a process, in the order of the table in Duties/Metrics.cpp.
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
    WorkerReplies,
    SchedulingPasses,
    PassSeconds,
    PassCandidates,
    PassWorkerChecks,
    ApprovalDecisions,
};

/// One observation: an increment of a counter, or a value of a summary.
struct Sample
{
    Metric metric = Metric::EventsHandled;
    double value = 1;
    /// Value of the metric's label, for example the kind of work; empty without a label.
    std::string label;
};

} // namespace caraway
