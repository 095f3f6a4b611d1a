#pragma once

#include "Cell/CellTypes.h"

#include <string_view>
#include <variant>

namespace caraway::cell {

/// Requests the start of a task on a worker.
struct WorkerStart
{
    TaskKey task;
    RunNumber run;
    std::string payload;
    /// The latest start, on the worker's clock. The worker's lease lasts at least until then.
    WorkerTime deadline;
    std::string checkpoint;
    /// The policy service's approval of this worker for the step; empty when none is needed.
    std::string ticket;
};

/// Requests the stop of a run on a worker. The worker refuses a later start of the same run.
struct WorkerStop
{
    TaskKey task;
    RunNumber run;
};

/// Renews the lease of all runs on a worker, and reads its running tasks and its completions.
struct WorkerHeartbeat
{
    /// The worker discards completions up to this number.
    CompletionNumber acknowledged;
    /// The end of the renewed lease, on the worker's clock; 0 renews nothing.
    WorkerTime deadline;
    /// How long the worker may delay its reply until a run completes.
    Milliseconds wait;
};

struct WorkerRequest
{
    WorkerId worker;
    Address address;
    FencingToken token;
    std::variant<WorkerStart, WorkerStop, WorkerHeartbeat> command;
    /// The only incarnation that may carry out the call; nothing while none is known.
    std::optional<WorkerIncarnation> incarnation = std::nullopt;
    /// The call is not sent after this time, as its decision is outdated then; nothing when it may
    /// always be sent.
    std::optional<TimePoint> notAfter = std::nullopt;
};

enum class WorkerOutcome {
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A run with this or a higher number was stopped or completed there.
    Superseded,
    /// The start deadline has passed on the worker's clock.
    DeadlinePassed,
    InsufficientCapacity,
    TicketInvalid,
    /// The address now belongs to another worker.
    Misdirected,
    Invalid,
    /// The worker reports itself unhealthy and did not carry out the call.
    Unhealthy,
    /// The call was never sent, as the reply names another incarnation than the intended one.
    OtherIncarnation,
    /// The call was never sent.
    NotSent,
    /// Likewise, as this instance is overloaded, which tells nothing about the worker.
    Withheld,
    /// No reply was received: the call may have been, or may still be, carried out.
    Unanswered,
};

/// The outcome's name in logs and metrics.
constexpr std::string_view nameOf(WorkerOutcome outcome)
{
    switch (outcome) {
    case WorkerOutcome::Done:
        return "done";
    case WorkerOutcome::Fenced:
        return "fenced";
    case WorkerOutcome::Superseded:
        return "superseded";
    case WorkerOutcome::DeadlinePassed:
        return "deadline_passed";
    case WorkerOutcome::InsufficientCapacity:
        return "insufficient_capacity";
    case WorkerOutcome::TicketInvalid:
        return "ticket_invalid";
    case WorkerOutcome::Misdirected:
        return "misdirected";
    case WorkerOutcome::Invalid:
        return "invalid";
    case WorkerOutcome::Unhealthy:
        return "unhealthy";
    case WorkerOutcome::OtherIncarnation:
        return "other_incarnation";
    case WorkerOutcome::NotSent:
        return "not_sent";
    case WorkerOutcome::Withheld:
        return "withheld";
    case WorkerOutcome::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

enum class CompletionReason {
    Succeeded,
    Failed,
    Stopped,
    LeaseExpired,
    /// Another member of the gang has stopped running.
    GangMemberStopped,
    /// The other members of the gang did not start in time.
    GangIncomplete,
};

struct RunningTask
{
    TaskKey task;
    RunNumber run;
    std::string checkpoint;
    Percent progress;
};

struct CompletedRun
{
    CompletionNumber number;
    TaskKey task;
    RunNumber run;
    CompletionReason reason = CompletionReason::Failed;
    std::string checkpoint;
};

struct WorkerReply
{
    WorkerOutcome outcome = WorkerOutcome::Unanswered;
    std::optional<WorkerTime> clock;
    std::optional<WorkerIncarnation> incarnation;
    std::vector<RunningTask> running;
    std::vector<CompletedRun> completed;
    /// When it was received, as it may be handled later; nothing when it is handled at once.
    std::optional<TimePoint> receivedAt;
};

/// A worker's own entry in the list of workers.
struct WorkerEntry
{
    WorkerId id;
    WorkerIncarnation incarnation;
    UpstreamId upstream;
    Address address;
    ZoneId zone;
    bool draining = false;
    /// The minimum time until the worker leaves, counted from reportedAt; nothing when it has not
    /// announced one.
    std::optional<Milliseconds> remaining;
    /// The worker's clock when it wrote the entry; nothing when the entry does not contain it.
    std::optional<WorkerTime> reportedAt;
    Resources capacity;
    std::vector<Label> labels;
};

/// Requests the policy service's decision on which workers may run a step.
struct ApprovalRequest
{
    StepKey step;
    std::vector<WorkerId> workers;

    friend bool operator==(const ApprovalRequest &, const ApprovalRequest &) = default;
};

struct Approval
{
    WorkerId worker;
    std::string ticket;
};

struct ApprovalReply
{
    bool answered = false;
    std::vector<Approval> approved;
};

} // namespace caraway::cell
