#pragma once

#include "Cell/JobSpec.h"

#include <variant>

namespace caraway::cell {

struct SubmitJob
{
    JobSpec spec;
};
struct ReadJob
{
    JobId job;
};
struct CancelJob
{
    JobId job;
};
struct CountPending
{
};

/// A caller's request to the queue at \a host and \a path.
struct CallerRequest
{
    CallerRequestId id;
    std::string host;
    std::string path;
    std::variant<SubmitJob, ReadJob, CancelJob, CountPending> body;
    /// How long the caller waits, where it said so.
    std::optional<Milliseconds> timeout;
};

enum class CallerOutcome {
    Accepted,
    State,
    Cancelled,
    Counted,
    UnknownQueue,
    UnknownJob,
    /// Not done, and never will be: come back later.
    Refused,
    /// Not ready to serve: come back soon.
    NotReady,
    /// The job can run on no worker.
    Invalid,
    /// It is not known whether it was done: ask again with the same name.
    Unknown,
};

struct CallerAnswer
{
    CallerRequestId id;
    CallerOutcome outcome = CallerOutcome::NotReady;
    JobState state = JobState::Pending;
    std::int64_t waitingJobs = 0;
    /// When to come back, for Refused and NotReady.
    Milliseconds retryAfter;
};

} // namespace caraway::cell
