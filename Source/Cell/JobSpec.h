#pragma once

#include "Cell/CellTypes.h"

#include <map>
#include <set>
#include <string_view>

namespace caraway::cell {

/// What the tasks of one step need and how they may run.
struct StepSpec
{
    std::int64_t tasks = 1;
    Resources need;
    /// The caller's estimate of a task's duration; often far off.
    Milliseconds estimate;
    /// Steps all of whose tasks must have succeeded before.
    std::vector<StepIndex> after;
    /// A task saves its progress and can go on from there.
    bool checkpoints = false;
    /// The tasks work only while all of them run, and succeed together.
    bool gang = false;
    bool sameRack = false;
    /// Copies of a task may run side by side; the first to succeed counts.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool longRunning = false;
    /// The tasks use only processor time that other tasks leave.
    bool fillsIdleTime = false;
    Label requiredLabel;
    Label preferredRack;
    std::string image;
    /// Most tasks of this step on one worker; 0 for no limit.
    std::int64_t maxPerWorker = 0;
    /// Most tasks of a long-running step that the system may keep from work; 0 when not given.
    std::int64_t maxUnavailable = 0;
    /// Bound of the tail of the tasks' response times; 0 for none.
    Milliseconds latencyTarget;
};

/// When a scheduled job repeats; runs = 0 for a job that runs once, at once.
struct Schedule
{
    std::int64_t runs = 0;
    WallTime firstDue;
    Milliseconds interval;
};

/// A job as its caller hands it in.
struct JobSpec
{
    JobId id;
    /// Passed to the workers with each task.
    std::string payload;
    std::vector<StepSpec> steps;
    Schedule schedule;
};

/// What a queue's policy service costs and grants.
struct ApprovalTerms
{
    Milliseconds perDecision;
    /// Microseconds, as a call names up to a hundred workers at a fraction of a millisecond each.
    std::int64_t perWorkerMicroseconds = 0;
    Milliseconds validity;
};

/// The operator's terms for one queue.
struct Queue
{
    QueueId id;
    std::string host;
    std::string prefix;
    UpstreamId upstream;
    /// 0 comes first.
    std::int64_t priority = 0;
    std::int64_t maxAttempts = 1;
    /// Hundredths of the work's own duration that a job may take.
    std::int64_t stretchPercent = 100;
    Milliseconds objective;
    Milliseconds timeout;
    std::optional<ApprovalTerms> approval;
};

/// The operator's configuration in force.
struct CellConfiguration
{
    ConfigurationVersion version;
    std::vector<Queue> queues;
    std::set<UpstreamId> upstreams;
    /// Those whose workers refuse what does not fit.
    std::set<UpstreamId> guardedUpstreams;

    /// The queue at \a host with the longest prefix that \a path begins with; null for none.
    const Queue *queueAt(std::string_view host, std::string_view path) const;
};

/// An accepted job, as it stands in the store until it ends.
struct AcceptedJob
{
    JobSpec spec;
    /// The queue's terms at acceptance; they serve on when the queue is removed.
    Queue terms;
    /// The generation of the holder that was known at acceptance. Earlier holders have not started
    /// it.
    std::uint64_t generation = 0;
    WallTime acceptedAt;
};

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

constexpr bool isFinal(JobState state)
{
    return state != JobState::Pending && state != JobState::Running;
}

/// What has ended of a step: the part of its progress that lasts.
struct StepProgress
{
    std::vector<bool> done;
    /// Failed runs by task; those of a gang stand under task 0. Ends are listed until they are
    /// recorded and may come in any order, so each run is named.
    std::map<std::uint64_t, std::set<RunNumber>> failedRuns;
    /// Last checkpoint by task; that of a gang under task 0.
    std::map<std::uint64_t, std::string> checkpoints;
};

/// The lasting progress of a job, a row a step of each repetition.
struct JobProgress
{
    std::vector<StepProgress> steps;
};

} // namespace caraway::cell
