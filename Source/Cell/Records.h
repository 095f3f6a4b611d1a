#pragma once

#include "Cell/JobSpec.h"
#include "Cell/WorkerCalls.h"

#include <map>
#include <set>

namespace caraway::cell {

/// The types of record in the store. A record's key consists of its type and a name.
enum class RecordType {
    /// The current holder; written only when a holder claims the cell.
    Holder,
    /// Exists as long as the holder renews its lease.
    HolderLease,
    /// Numbers the holder's commits, so that a commit that reaches the store late fails.
    CommitSequence,
    /// The same for the holder's further sequences of commits, by their number from 1.
    FurtherSequences,
    /// The worker roster: workers on which the holder may have started runs.
    Roster,
    /// Workers of the roster that receive no starts; valid if it has the revision of the roster.
    ClosedWorkers,
    /// Accepted jobs that have not finished.
    Jobs,
    /// Cancellation requests for jobs that have not finished.
    Cancels,
    /// Jobs and Cancels together, to list and watch both in one call.
    JobsAndCancels,
    /// Progress of unfinished jobs.
    Progress,
    /// Final states of jobs.
    Results,
    /// The starts of the current runs, in segments.
    StartLog,
    /// The operator's configuration.
    Configuration,
    /// The list of workers.
    Workers,
};

struct RecordKey
{
    RecordType type = RecordType::Jobs;
    std::string name;

    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};

/// Identifies one incarnation of an entry instance.
struct ProcessId
{
    InstanceId instance;
    /// Start time in milliseconds since 1970, shifted left, with random low bits.
    std::uint64_t incarnation = 0;

    friend bool operator==(const ProcessId &, const ProcessId &) = default;
};

struct HolderRecord
{
    ProcessId process;
    /// Where the holder listens for other instances.
    Address peers;
    /// The number of earlier holders.
    std::uint64_t generation = 0;
    /// Processors that the instance may use; instances with more are preferred as holder.
    Millicores processors;
};

struct CommitSequenceRecord
{
    ProcessId process;
    std::uint64_t number = 0;
};

struct RosterRecord
{
    std::vector<WorkerId> workers;
};

/// Closed workers, and the jobs that may have runs on each of them.
using ClosedWorkers = std::map<WorkerId, std::set<JobId>>;

struct ClosedWorkersRecord
{
    ClosedWorkers workers;
};

/// The contents of the roster record and of the record of closed workers.
struct Roster
{
    std::set<WorkerId> workers;
    ClosedWorkers closed;

    friend bool operator==(const Roster &, const Roster &) = default;
};

/// A start of a task that needed no record of its own before it was sent, or the end of its run.
struct LoggedStart
{
    TaskKey task;
    RunNumber run;
    WorkerId worker;
    WorkerIncarnation incarnation;
    /// The run ended, or cannot start, and not with a crash of the worker.
    bool hasEnded = false;
    /// Where the worker was; empty in records of earlier releases.
    Address address = {};

    friend bool operator==(const LoggedStart &, const LoggedStart &) = default;
};

struct StartLogSegment
{
    /// Rises with each segment that is written.
    std::uint64_t number = 0;
    std::vector<LoggedStart> starts;
};

struct CancelRecord
{
    WallTime at;
};

struct JobResult
{
    JobState state = JobState::Completed;
    WallTime endedAt;
};

/// A value that cannot be decoded as a record of its type.
struct Malformed
{
    /// Why, for the log.
    std::string reason;
};

using RecordValue
        = std::variant<std::monostate, Malformed, HolderRecord, CommitSequenceRecord, RosterRecord,
                       ClosedWorkersRecord, AcceptedJob, CancelRecord, JobProgress, JobResult,
                       CellConfiguration, WorkerEntry, StartLogSegment>;

} // namespace caraway::cell
