#pragma once

#include "Cell/CallerMessages.h"
#include "Cell/Records.h"

namespace caraway::cell {

/// To the holder, once a second and when a connection opens: who can be reached where.
struct PeerHello
{
    Address peers;
};

/// To the holder: a job was accepted.
struct PeerJobAccepted
{
    AcceptedJob job;
};

/// To the holder: a job was cancelled.
struct PeerJobCancelled
{
    JobId job;
};

/// From the holder to one instance: ask the policy service.
struct PeerApprovalRequest
{
    std::uint64_t number = 0;
    ApprovalRequest request;
    Milliseconds timeout;
};

struct PeerApprovalReply
{
    std::uint64_t number = 0;
    ApprovalReply reply;
};

struct JobStateRow
{
    JobId job;
    JobState state = JobState::Pending;
};

/// How a queue stands, for counts and for refusing what cannot be served.
struct QueueLoad
{
    QueueId queue;
    /// Accepted jobs of which no task has started.
    std::int64_t waitingJobs = 0;
    /// How long a job accepted now is likely to wait before its first task starts.
    Milliseconds expectedWait;
};

/// From the holder to every instance, in short intervals.
struct PeerStateUpdate
{
    std::uint64_t generation = 0;
    ConfigurationVersion configuration;
    std::vector<JobStateRow> changed;
    std::vector<QueueLoad> queues;
};

/// To an instance that the store serves, from one that it turns away: answer this caller.
struct PeerCallerRequest
{
    CallerRequest request;
};

struct PeerCallerAnswer
{
    CallerAnswer answer;
};

using PeerMessage
        = std::variant<PeerHello, PeerJobAccepted, PeerJobCancelled, PeerApprovalRequest,
                       PeerApprovalReply, PeerStateUpdate, PeerCallerRequest, PeerCallerAnswer>;

struct PeerFrame
{
    ProcessId from;
    Address fromAddress;
    PeerMessage message;
};

} // namespace caraway::cell
