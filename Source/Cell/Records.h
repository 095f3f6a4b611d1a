#pragma once

#include "Cell/JobSpec.h"
#include "Cell/WorkerCalls.h"

namespace caraway::cell {

/// The kinds of record in the store. Each record's key is its area and a name in it.
enum class RecordArea {
    /// Who holds the scheduling of the cell; changes with each holder only.
    Holder,
    /// A record that lives as long as the holder renews its lease.
    HolderLease,
    /// Numbers the holder's commits, so that one which is carried out late fails.
    CommitSequence,
    /// Workers that may run something, by the holder's orders.
    Roster,
    /// Accepted jobs that have not ended.
    Jobs,
    /// Cancelled jobs that have not ended.
    Cancels,
    /// Jobs and Cancels together, to read and watch both in one call.
    Intake,
    Progress,
    /// Final states of jobs.
    Results,
    /// The operator's configuration.
    Configuration,
    /// The list of workers.
    Workers,
};

struct RecordKey
{
    RecordArea area = RecordArea::Jobs;
    std::string name;

    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};

/// One process, in one life.
struct ProcessId
{
    InstanceId instance;
    /// Milliseconds since 1970 of its start, with random low bits.
    std::uint64_t life = 0;

    friend bool operator==(const ProcessId &, const ProcessId &) = default;
};

struct HolderRecord
{
    ProcessId process;
    Address peers;
    /// How many holders there were before.
    std::uint64_t generation = 0;
    /// What the instance may use; stronger instances are preferred as holders.
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

struct CancelRecord
{
    WallTime at;
};

struct JobResult
{
    JobState state = JobState::Completed;
    WallTime endedAt;
};

/// A value that is not what its area holds.
struct Unreadable
{
};

using RecordValue = std::variant<std::monostate, Unreadable, HolderRecord, CommitSequenceRecord,
                                 RosterRecord, AcceptedJob, CancelRecord, JobProgress, JobResult,
                                 CellConfiguration, WorkerEntry>;

} // namespace caraway::cell
