#pragma once

#include "Core/Clock.h"
#include "Core/Metric.h"
#include "Decisions/Events.h"

#include <iterator>
#include <optional>
#include <variant>
#include <vector>

/// The typed actions that the decisions put out.
namespace caraway {

/// One row of the table of workers that operators see.
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
    /// Time since the instance last said so.
    Milliseconds age;
};
/// How one shard stands, as this instance sees it.
struct ShardStatus
{
    ShardId shard;
    std::string leaseState;
    Epoch epoch;
    std::size_t waiting = 0;
    std::size_t jobs = 0;
};
/// How this instance stands.
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
                 std::vector<Follower>, std::vector<ChangeNote>, InstanceStatus, Error>
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
    /// The record to write; its revision is the one that the store must still have.
    ShardRecord record;
    /// Unless zero, the write is dropped as a conflict when it cannot be sent before this time.
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
    /// The worker refuses the start in any other session.
    SessionId session;
    /// The start is dropped unless it is sent before this time.
    TimePoint notAfter;
};
/// Renews a worker's task leases and asks for its inventory.
struct HeartbeatWorker
{
    ShardId shard;
    WorkerId worker;
    Endpoint endpoint;
    Epoch epoch;
    /// The session and the answer in it that the holder saw last. The session's lease is renewed
    /// from when the worker gave that answer; no other session is renewed.
    SessionId session;
    BeatNumber beat;
    /// Zero to read the inventory without renewing.
    Milliseconds taskLease;
    /// Attempts whose inventory entries need not be sent in full again in this epoch.
    std::vector<std::pair<TaskId, AttemptNumber>> known;
    /// Finished attempts that the worker may forget.
    std::vector<std::pair<TaskId, AttemptNumber>> taken;
    /// Attempts to stop.
    std::vector<std::pair<TaskId, AttemptNumber>> stopped;
    /// Attempts that must not start if they are not there yet.
    std::vector<std::pair<TaskId, AttemptNumber>> voided;
};
struct CallWorker
{
    std::variant<StartTask, HeartbeatWorker> body;
};

/// The peers that a link should be kept to.
struct ConnectPeers
{
    std::vector<EntryMember> peers;
};
/// A change of state for the audit trail and the log.
struct RecordChange
{
    std::string subject;
    std::string change;
};
/// Something to be counted or measured.
struct Observe
{
    Sample sample;
};
/// All work is handed over and answered; the process may end.
struct LeaveNow
{
};

using Action = std::variant<AnswerCaller, SendToPeer, CallStore, CallWorker, ConnectPeers,
                            RecordChange, LeaveNow, CallConfiguration, Observe>;
using Actions = std::vector<Action>;

/// Moves every action of \a from to the end of \a to, in order.
inline void moveActions(Actions &from, Actions &to)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
    from.clear();
}

} // namespace caraway
