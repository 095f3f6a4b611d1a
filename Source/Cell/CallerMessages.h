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
/// Requests the number of the queue's pending jobs.
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
    /// How long the caller waits for the answer, if it specified a time.
    std::optional<Milliseconds> timeout;
    /// The account key in the request; empty for none.
    AccountKey key = {};
};

enum class CallerOutcome {
    Accepted,
    State,
    Cancelled,
    Counted,
    UnknownQueue,
    UnknownJob,
    /// Not executed and will not be; the caller may retry after CallerAnswer::retryAfter.
    Refused,
    /// This instance is not ready; the caller may retry after CallerAnswer::retryAfter.
    NotReady,
    /// The job's specification is invalid.
    Invalid,
    /// The outcome is unknown; the caller may retry with the same job name.
    Unknown,
    /// The request has no key of a client account. Not executed.
    Unauthorized,
    /// The job belongs to another client account. Not executed.
    Forbidden,
};
constexpr std::size_t callerOutcomes = static_cast<std::size_t>(CallerOutcome::Forbidden) + 1;

struct CallerAnswer
{
    CallerRequestId id;
    CallerOutcome outcome = CallerOutcome::NotReady;
    JobState state = JobState::Pending;
    /// Set if the outcome is Counted.
    std::int64_t queuedJobs = 0;
    /// Delay before a retry, for Refused and NotReady.
    Milliseconds retryAfter;
};

} // namespace caraway::cell
