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

/// What keeps an accepted job from being lost.
enum class Durability {
    /// The caller and its entry instance hold the job and resubmit it under its name.
    Attached,
    /// The platform's key-value service holds the job.
    Detached,
};

/// A job as its caller declares it.
struct JobSpec
{
    JobName name;
    KindId kind;
    TeamId team;
    std::uint32_t taskCount = 1;
    /// All tasks start together or none does.
    bool gang = false;
    /// Whether a task may run again after an attempt whose fate is known to be a failure.
    bool idempotent = true;
    Durability durability = Durability::Attached;
    Resources perTask;
    Milliseconds expectedRunTime;
    /// Handed to the worker as it is.
    std::string payload;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// What a caller is told of its job. "Not run" promises that no task ever ran.
enum class JobState { Queued, Running, Done, Failed, NotRun, Cancelled, Unknown };

/// The answer of one task, whole.
struct TaskAnswer
{
    TaskIndex index;
    AttemptNumber attempt;
    WorkerId worker;
    bool succeeded = false;
    std::string content;
};

/// What a caller learns of one job.
struct JobReport
{
    JobName name;
    JobState state = JobState::Unknown;
    std::optional<Error> error;
    /// When asking again makes sense; zero where it does not.
    Milliseconds retryAfter;
    /// How long the last task to start waited; zero before it starts.
    Milliseconds waited;
    std::vector<TaskAnswer> answers;

    bool isFinal() const { return state != JobState::Queued && state != JobState::Running; }
};

} // namespace caraway
