#pragma once

#include "Cell/CellTypes.h"
#include "Cell/ClientAccount.h"

#include <map>
#include <set>
#include <string_view>

namespace caraway::cell {

/// The resource needs and scheduling constraints of the tasks of one step.
struct StepSpec
{
    std::int64_t tasks = 1;
    Resources need;
    /// The caller's estimate of a task's duration; often inaccurate.
    Milliseconds estimate;
    /// Steps that this one depends on: all their tasks must have succeeded before it starts.
    std::vector<StepIndex> after;
    /// A task saves checkpoints and can resume from the last one.
    bool checkpoints = false;
    /// The tasks make progress only while all of them run, and succeed together.
    bool gang = false;
    bool sameRack = false;
    /// Copies of a task may run at the same time; the first to succeed counts.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool longRunning = false;
    /// The tasks use only processor time that no other task uses.
    bool fillsIdleTime = false;
    Label requiredLabel;
    Label preferredRack;
    std::string image;
    /// Maximum number of tasks of this step on one worker; 0 for no limit.
    std::int64_t maxPerWorker = 0;
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at
    /// the same time; 0 if not specified.
    std::int64_t maxUnavailable = 0;
    /// Bound on the tail latency of the tasks' responses; 0 for none.
    Milliseconds latencyTarget;

    /// What a task takes of its worker's capacity.
    Resources allocation() const
    {
        Resources allocated = need;
        if (fillsIdleTime)
            allocated.processors = {};
        return allocated;
    }
};

/// When a recurring job repeats; runs = 0 for a job that runs once, immediately.
struct Schedule
{
    std::int64_t runs = 0;
    WallTime firstDue;
    Milliseconds interval;
};

/// A job as its caller submits it.
struct JobSpec
{
    JobId id;
    /// Passed to the workers with each task.
    std::string payload;
    std::vector<StepSpec> steps;
    Schedule schedule;
};

/// How long the policy service takes for the approval requests of a queue, and how long its tickets
/// are valid.
struct ApprovalSettings
{
    /// Fixed part of the service time of one approval request.
    Milliseconds perRequest;
    /// Part of the service time for each worker in the request; in microseconds, as a request names
    /// up to a hundred workers and each takes a fraction of a millisecond.
    std::int64_t perWorkerMicroseconds = 0;
    Milliseconds ticketValidity;
};

/// The operator's settings for one queue.
struct Queue
{
    QueueId id;
    std::string host;
    std::string prefix;
    UpstreamId upstream;
    /// Lower values are served first; 0 is the most urgent.
    std::int64_t priority = 0;
    std::int64_t maxAttempts = 1;
    /// The objective for a job's duration is this percentage of its critical path, plus
    /// `objective`.
    std::int64_t stretchPercent = 100;
    Milliseconds objective;
    /// How long a caller waits whose request specifies no timeout.
    Milliseconds timeout;
    std::optional<ApprovalSettings> approval;
    /// Whether requests need no account key.
    bool isPublic = false;
};

/// The operator's configuration in force.
struct CellConfiguration
{
    ConfigurationVersion version;
    std::vector<Queue> queues;
    std::set<UpstreamId> upstreams;
    /// Upstreams whose workers refuse tasks that exceed their free capacity.
    std::set<UpstreamId> upstreamsRejectingOverload;
    /// Whether the configuration has client accounts, so that requests need a key of one, even when
    /// the list is empty.
    bool hasAccounts = false;
    std::vector<ClientAccount> accounts;

    /// The queue of \a host with the longest prefix of \a path; null for none.
    const Queue *queueAt(std::string_view host, std::string_view path) const;
};

/// An accepted job, as stored until it finishes.
struct AcceptedJob
{
    JobSpec spec;
    /// The queue's settings at acceptance, for use after the queue is removed from the
    /// configuration.
    Queue queue;
    /// The generation of the holder that was known at acceptance. No earlier holder has started the
    /// job.
    std::uint64_t generation = 0;
    WallTime acceptedAt;
    /// The account whose key the request had; empty if it needed none.
    AccountId account = {};
};

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

constexpr bool isFinal(JobState state)
{
    return state != JobState::Pending && state != JobState::Running;
}

/// The stored progress of one step.
struct StepProgress
{
    std::vector<bool> done;
    /// Failed runs by task; those of a gang under task 0. Run numbers rather than a count, as
    /// workers report a completion again until it is recorded, and in any order.
    std::map<std::uint64_t, std::set<RunNumber>> failedRuns;
    /// Last checkpoint by task; that of a gang under task 0.
    std::map<std::uint64_t, std::string> checkpoints;
    /// Crashes of workers under runs of the tasks, by task.
    std::map<std::uint64_t, std::set<WorkerCrash>> crashes;
    /// Those of the crashes that other workers shared.
    std::map<std::uint64_t, std::set<WorkerCrash>> sharedCrashes;
    /// Current runs, by task, of tasks with crashes.
    std::map<std::uint64_t, RecordedStart> starts;
};

/// The stored progress of a job: one entry for each step of each repetition.
struct JobProgress
{
    std::vector<StepProgress> steps;
};

} // namespace caraway::cell
