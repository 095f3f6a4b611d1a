#pragma once

#include "Core/Error.h"
#include "Core/Ids.h"
#include "Core/Units.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// Where an accepted job is stored so that it survives the loss of its holder.
enum class Durability {
    /// With the caller and its entry instance, which resubmit it under its name.
    Attached,
    /// In the platform's key-value service.
    Detached,
};

/// A job as its caller declares it.
struct JobSpec
{
    JobName name;
    KindId kind;
    TeamId team;
    std::uint32_t taskCount = 1;
    /// All tasks start together, or none.
    bool gang = false;
    /// Whether a task may run again after an attempt that failed or whose outcome is unknown.
    bool idempotent = true;
    Durability durability = Durability::Attached;
    Resources perTask;
    Milliseconds expectedRunTime;
    /// Opaque to the scheduler; passed to the worker unchanged.
    std::string payload;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// The state of a job as reported to its caller. NotRun guarantees that no task ever ran.
enum class JobState { Queued, Running, Done, Failed, NotRun, Cancelled, Unknown };

/// The complete answer of one task.
struct TaskAnswer
{
    TaskIndex index;
    AttemptNumber attempt;
    WorkerId worker;
    bool succeeded = false;
    std::string content;
};

/// The reply to a caller about one job.
struct JobReport
{
    JobName name;
    JobState state = JobState::Unknown;
    std::optional<Error> error;
    /// The delay after which to retry; zero if a retry is of no use.
    Milliseconds retryAfter;
    /// The longest time that a started task was queued; zero before the first start.
    Milliseconds waited;
    std::vector<TaskAnswer> answers;

    bool isFinal() const { return state != JobState::Queued && state != JobState::Running; }
};

} // namespace caraway
