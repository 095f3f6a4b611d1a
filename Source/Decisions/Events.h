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

/// The typed events that the decisions handle.
namespace caraway {

struct SubmitJob
{
    JobSpec spec;
    /// How long the caller waits for the result.
    Milliseconds wait;
    /// The caller states that it never submitted this name before, through any instance.
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
    AuditRecord change;
    /// The revision the operator last saw; the change is refused if there is a newer one.
    std::optional<Revision> expected;
};

struct ListPresets
{
};
/// Creates or replaces a definition; its revision is the one the operator last saw, 0 if none.
struct DefinePreset
{
    PresetDefinition definition;
};
/// Requests which instances follow the preset in force.
struct ListFollowers
{
};
struct ShowAuditTrail
{
    AuditDay day;
};

/// Requests the status of this instance.
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
    /// The worker did not start the task and will not.
    Refused,
    /// Nothing was sent: the start was too late, the queue of calls to the worker was full, or the
    /// circuit breaker was open.
    NotSent,
    /// No reply was received: the task may be running, or may still start.
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
/// A task as listed in a worker's inventory.
struct InventoryEntry
{
    TaskId task;
    AttemptNumber attempt;
    Epoch epoch;
    TaskCondition condition = TaskCondition::Running;
    /// Omitted for attempts that the heartbeat listed as known.
    std::optional<JobSpec> spec;
    /// The result, once the task has finished.
    std::string content;
    /// Whether the result has the length and the checksum that the worker stated.
    bool intact = true;
};
/// A worker's reply to a heartbeat.
struct HeartbeatAnswered
{
    ShardId shard;
    WorkerId worker;
    TimePoint sentAt;
    bool answered = false;
    SessionId session;
    HeartbeatNumber beat;
    std::vector<InventoryEntry> tasks;
    /// The attempts of the heartbeat's voided list that are certain never to run.
    std::vector<std::pair<TaskId, AttemptNumber>> voided;
};
/// A worker's report that a task has finished.
struct TaskReported
{
    WorkerId worker;
    InventoryEntry entry;
};

struct InstanceListRead
{
    InstanceList list;
    /// When the request for the list was sent.
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
