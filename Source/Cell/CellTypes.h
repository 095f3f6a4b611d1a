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
/// Name of a queue: jobs of one kind that run under the same conditions.
using QueueId = NameId<struct QueueIdTag>;
/// Name of a group of workers that runs the tasks of one or more queues.
using UpstreamId = NameId<struct UpstreamIdTag>;
/// A label that a worker has and a step may require.
using Label = NameId<struct LabelTag>;

/// Position of a step in its job, from 0.
using StepIndex = NumberId<struct StepIndexTag>;
/// Position of a repetition of a recurring job, from 0; 0 for a job that runs once.
using Occurrence = NumberId<struct OccurrenceTag>;
/// Number of a run of a task; rises with each start of the task.
using RunNumber = NumberId<struct RunNumberTag>;
/// Rises with each holder. A worker refuses calls with a lower token than it has received.
using FencingToken = NumberId<struct FencingTokenTag>;
/// Number of a completed run on a worker, from 1 since the start of its process.
using CompletionNumber = NumberId<struct CompletionNumberTag>;
/// Number that a holder assigns to a worker, and anew to each later incarnation, from 0.
using WorkerNumber = NumberId<struct WorkerNumberTag>;
/// A lease in the store.
using LeaseId = NumberId<struct LeaseIdTag>;
/// Version of the operator's configuration; versions only rise.
using ConfigurationVersion = NumberId<struct ConfigurationVersionTag>;
/// Start time of a worker process, in milliseconds since 1970; identifies its incarnation.
using WorkerIncarnation = NumberId<struct WorkerIncarnationTag>;
/// Milliseconds since the start of a worker process, on that worker's clock.
using WorkerTime = Quantity<struct WorkerTimeUnit>;
/// Milliseconds since 1970, for the due times of recurring jobs and for times in records.
using WallTime = Quantity<struct WallTimeUnit>;
/// Number of a caller's request within this process.
using CallerRequestId = NumberId<struct CallerRequestIdTag>;

/// Address at which a process listens.
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

/// A crash of a worker's process.
struct WorkerCrash
{
    WorkerId worker;
    /// The incarnation that ended.
    WorkerIncarnation incarnation;

    friend auto operator<=>(const WorkerCrash &, const WorkerCrash &) = default;
};

/// A run that was about to start on a worker.
struct RecordedStart
{
    RunNumber run;
    WorkerId worker;
    WorkerIncarnation incarnation;
    /// Where the worker was; empty in records of earlier releases.
    Address address = {};

    friend bool operator==(const RecordedStart &, const RecordedStart &) = default;
};

inline StepKey stepOf(const TaskKey &task)
{
    return {task.job, task.occurrence, task.step};
}

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
