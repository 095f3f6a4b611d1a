#pragma once

#include "Core/Clock.h"
#include "Core/Metric.h"
#include "Decisions/Events.h"

#include <iterator>
#include <optional>
#include <variant>
#include <vector>

/// The typed actions that the decisions return; other duties carry them out.
namespace caraway {

/// One worker in the list that operators see.
struct WorkerRow
{
    ShardId shard;
    WorkerId worker;
    Resources capacity;
    Resources reserved;
    std::string state;
};
/// Which revision of the preset in force an instance follows.
struct Follower
{
    InstanceId instance;
    Revision revision;
    /// Time since the instance last reported it.
    Milliseconds age;
};
/// The status of one shard, as seen by this instance.
struct ShardStatus
{
    ShardId shard;
    std::string leaseState;
    Epoch epoch;
    std::size_t waiting = 0;
    std::size_t jobs = 0;
};
/// The status of this instance.
struct InstanceStatus
{
    std::string processState;
    Revision presetRevision;
    std::size_t openRequests = 0;
    std::vector<ShardStatus> shards;
};
struct AnswerCaller
{
    RequestId request;
    std::variant<JobReport, std::vector<WorkerRow>, PresetInForce, std::vector<PresetDefinition>,
                 std::vector<Follower>, std::vector<AuditRecord>, InstanceStatus, Error>
            body;
};

struct SendToPeer
{
    InstanceId peer;
    PeerMessage message;
};

struct ReadShardRecords
{
};
struct WriteShardRecord
{
    /// The record to write, provided that the store still has the record at this revision.
    ShardRecord record;
    /// If not zero, a write not sent before this time is dropped and reported as a conflict.
    TimePoint notAfter;
};
struct CallStore
{
    std::variant<ReadShardRecords, WriteShardRecord> body;
};

struct StartTask
{
    ShardId shard;
    WorkerId worker;
    Endpoint endpoint;
    TaskId task;
    AttemptNumber attempt;
    Epoch epoch;
    JobSpec spec;
    /// The worker refuses the start in any other worker session.
    SessionId session;
    /// The start is dropped unless it is sent before this time.
    TimePoint notAfter;
};
/// Renews a worker's task leases and requests the inventory of its tasks.
struct HeartbeatWorker
{
    ShardId shard;
    WorkerId worker;
    Endpoint endpoint;
    Epoch epoch;
    /// The worker session and the number of the last reply in it that the holder received. The
    /// lease is renewed from the time of that reply; no other session is renewed.
    SessionId session;
    HeartbeatNumber beat;
    /// Lease duration; zero reads the inventory without renewing.
    Milliseconds taskLease;
    /// Attempts whose inventory entries need not be sent in full again in this epoch.
    std::vector<std::pair<TaskId, AttemptNumber>> known;
    /// Finished attempts whose results the holder has received; the worker may discard them.
    std::vector<std::pair<TaskId, AttemptNumber>> acknowledged;
    /// Attempts to stop.
    std::vector<std::pair<TaskId, AttemptNumber>> stopped;
    /// Attempts that the worker must not start any more, unless it has started them already.
    std::vector<std::pair<TaskId, AttemptNumber>> voided;
};
struct CallWorker
{
    std::variant<StartTask, HeartbeatWorker> body;
};

/// The peers to maintain links to.
struct ConnectPeers
{
    std::vector<EntryMember> peers;
};
/// A state change, written to the log.
struct LogChange
{
    std::string subject;
    std::string change;
};
/// A sample for the metrics.
struct Observe
{
    Sample sample;
};
/// All shards are released and all callers answered; the process may exit.
struct ExitProcess
{
};

using Action = std::variant<AnswerCaller, SendToPeer, CallStore, CallWorker, ConnectPeers,
                            LogChange, ExitProcess, CallConfiguration, Observe>;
using Actions = std::vector<Action>;

/// Moves every action of \a from to the end of \a to, in order.
inline void moveActions(Actions &from, Actions &to)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    from.clear();
}

} // namespace caraway
