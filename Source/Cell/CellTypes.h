#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Core/Units.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway::cell {

/// Name of a job, chosen by its caller.
using JobId = NameId<struct CellJobIdTag>;
/// A queue: jobs of one kind that run under the same terms.
using QueueId = NameId<struct QueueIdTag>;
/// A group of workers that runs the tasks of one or more queues.
using UpstreamId = NameId<struct UpstreamIdTag>;
/// A label that a worker carries and a step may ask for.
using Label = NameId<struct LabelTag>;

/// Position of a step in its job, from 0.
using StepIndex = NumberId<struct StepIndexTag>;
/// Position of a repetition of a scheduled job, from 0; 0 for a job that runs once.
using Occurrence = NumberId<struct OccurrenceTag>;
/// Numbers the starts of one task; each start has a higher number than the one before.
using RunNumber = NumberId<struct RunNumberTag>;
/// Rises with each holder. A worker refuses orders with a lower token than it has seen.
using FencingToken = NumberId<struct FencingTokenTag>;
/// Numbers what ended on one worker since its start, from 1.
using EndNumber = NumberId<struct EndNumberTag>;
/// Numbers the workers that a holder knows, from 0, in the order in which it learned of them.
using WorkerNumber = NumberId<struct WorkerNumberTag>;
/// A lease that the store keeps.
using LeaseId = NumberId<struct LeaseIdTag>;
/// Version of the operator's configuration; versions only grow.
using ConfigurationVersion = NumberId<struct ConfigurationVersionTag>;
/// Milliseconds since 1970 at which a worker process started; tells its lives apart.
using WorkerLife = NumberId<struct WorkerLifeTag>;
/// Milliseconds since the start of a worker process, on that worker's clock.
using WorkerTime = Quantity<struct WorkerTimeUnit>;
/// Milliseconds since 1970, only for the due times of scheduled jobs.
using WallTime = Quantity<struct WallTimeUnit>;
/// Number of a caller's request within this process.
using CallerRequestId = NumberId<struct CallerRequestIdTag>;

/// Where a process listens.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// One task of one repetition of a job.
struct TaskKey
{
    JobId job;
    Occurrence occurrence;
    StepIndex step;
    TaskIndex index;

    friend auto operator<=>(const TaskKey &, const TaskKey &) = default;
};

/// One step of one repetition of a job.
struct StepKey
{
    JobId job;
    Occurrence occurrence;
    StepIndex step;

    friend auto operator<=>(const StepKey &, const StepKey &) = default;
};

} // namespace caraway::cell

template<>
struct std::hash<caraway::cell::StepKey>
{
    std::size_t operator()(const caraway::cell::StepKey &key) const noexcept
    {
        constexpr std::size_t multiplier = 0x9E3779B97F4A7C15ULL;
        const std::size_t position = key.occurrence.value() * 4096 + key.step.value() + 1;
        return std::hash<caraway::cell::JobId>()(key.job) ^ position * multiplier;
    }
};
