#pragma once

#include "Core/Clock.h"
#include "Decisions/Configuration.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/PeerMessage.h"
#include "Decisions/Preset.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The typed events that the decisions take in.
namespace caraway {

struct SubmitJob
{
    JobSpec spec;
    /// How long the caller is ready to wait for the result.
    Milliseconds wait;
    /// The caller never submitted this name before, through any instance.
    bool isFirst = false;
};
struct QueryJob
{
    JobName name;
    Milliseconds wait;
};
struct CancelJob
{
    JobName name;
};
struct ListWorkers
{
};
struct ShowPresetInForce
{
};
struct UsePreset
{
    Preset preset;
    ChangeNote change;
    /// The revision the operator last saw; the change is refused if another came since.
    std::optional<Revision> expected;
};

struct ListPresets
{
};
/// Creates or replaces a definition; its revision is the one the operator last saw, 0 for none.
struct DefinePreset
{
    PresetDefinition definition;
};
/// Asks which instances follow the preset in force.
struct ListFollowers
{
};
struct ShowAuditTrail
{
    AuditDay day;
};

/// Asks how this instance stands.
struct ShowStatus
{
};

/// A request over the callers' interface, from a caller or an operator.
struct CallerRequest
{
    RequestId id;
    std::variant<SubmitJob, QueryJob, CancelJob, ListWorkers, ShowPresetInForce, UsePreset,
                 ListPresets, DefinePreset, ListFollowers, ShowAuditTrail, ShowStatus>
            body;
};

struct PeerMessageReceived
{
    InstanceId from;
    PeerMessage message;
};
struct PeerLinkChanged
{
    InstanceId peer;
    bool up = false;
};

struct ShardRecordsRead
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::vector<ShardRecord> records;
};
struct ShardRecordWritten
{
    ShardRecord record;
    StoreOutcome outcome = StoreOutcome::Unanswered;
};
struct StoreAnswered
{
    TimePoint sentAt;
    std::variant<ShardRecordsRead, ShardRecordWritten> body;
};

enum class StartOutcome {
    Started,
    /// The worker says that it did not start the task and will not.
    Refused,
    /// Nothing was sent: the start came too late or the link had no room.
    NotSent,
    /// No answer: the task may be running, or may yet start.
    Unanswered,
};
struct StartAnswered
{
    ShardId shard;
    WorkerId worker;
    TaskId task;
    AttemptNumber attempt;
    StartOutcome outcome = StartOutcome::Unanswered;
};

enum class TaskCondition { Running, Succeeded, Failed, Stopped };
/// A task as a worker's own inventory lists it.
struct InventoryEntry
{
    TaskId task;
    AttemptNumber attempt;
    Epoch epoch;
    TaskCondition condition = TaskCondition::Running;
    /// Left out once the holder knows the attempt in full.
    std::optional<JobSpec> spec;
    /// The answer, once the task has finished.
    std::string content;
    /// Whether the answer has the length and the checksum that the worker gave it.
    bool intact = true;
};
/// A worker's answer to a heartbeat.
struct HeartbeatAnswered
{
    ShardId shard;
    WorkerId worker;
    TimePoint sentAt;
    bool answered = false;
    SessionId session;
    BeatNumber beat;
    std::vector<InventoryEntry> tasks;
    /// The attempts named in the heartbeat's voided list that will certainly never run.
    std::vector<std::pair<TaskId, AttemptNumber>> voided;
};
/// A worker's word that a task has finished.
struct TaskReported
{
    WorkerId worker;
    InventoryEntry entry;
};

struct InstanceListRead
{
    InstanceList list;
    /// When the reading was sent.
    TimePoint readAt;
};
struct Tick
{
};
struct StopRequested
{
};

using Event = std::variant<Tick, CallerRequest, PeerMessageReceived, PeerLinkChanged, StoreAnswered,
                           StartAnswered, HeartbeatAnswered, TaskReported, InstanceListRead,
                           StopRequested, ConfigurationAnswered>;

} // namespace caraway
