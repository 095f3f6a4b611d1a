#pragma once

#include "Cell/CallerMessages.h"
#include "Cell/Records.h"

namespace caraway::cell {

/// To the holder, at intervals: the address at which this instance accepts peers.
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

/// From the holder to an instance: an approval request to forward to the policy service.
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

struct JobStateChange
{
    JobId job;
    JobState state = JobState::Pending;
};

/// The load of a queue, for counts and for admission.
struct QueueLoad
{
    QueueId queue;
    /// Accepted jobs of which no task has started.
    std::int64_t queuedJobs = 0;
    /// Expected wait of a job accepted now until its first task starts.
    Milliseconds expectedWait;
};

/// Rises by one with each state update of a holder.
using StateUpdateNumber = NumberId<struct StateUpdateNumberTag>;

/// From the holder to every instance, at short intervals: changed job states, and at longer
/// intervals the loads of all queues.
struct PeerStateUpdate
{
    std::uint64_t generation = 0;
    /// One more than that of the holder's previous update, so that the loss of one is noticed.
    StateUpdateNumber number;
    ConfigurationVersion configuration;
    std::vector<JobStateChange> changed;
    std::vector<QueueLoad> queues;
};

/// A caller's request, relayed by an instance that the store does not serve.
struct PeerCallerRequest
{
    CallerRequest request;
};

struct PeerCallerAnswer
{
    CallerAnswer answer;
};

/// From an instance that the store has not confirmed its configuration to for some time.
struct PeerConfigurationRequest
{
    std::uint64_t number = 0;
    /// The version that the instance has.
    ConfigurationVersion known;
};

struct PeerConfigurationReply
{
    std::uint64_t number = 0;
    /// The version that the answering instance has, and how long ago the store confirmed it.
    ConfigurationVersion version;
    Milliseconds age;
    /// Set if the version is newer than that in the request.
    std::optional<CellConfiguration> configuration;
};

using PeerMessage
        = std::variant<PeerHello, PeerJobAccepted, PeerJobCancelled, PeerApprovalRequest,
                       PeerApprovalReply, PeerStateUpdate, PeerCallerRequest, PeerCallerAnswer,
                       PeerConfigurationRequest, PeerConfigurationReply>;

/// The number before an instance's first request to a peer. No process at the same address has used
/// the numbers after it, so that a reply to an earlier process is not taken for one to this one.
constexpr std::uint64_t numberBeforeFirst(const ProcessId &process)
{
    constexpr std::uint64_t numbersPerIncarnation = 1024;
    return process.incarnation * numbersPerIncarnation;
}

struct PeerFrame
{
    ProcessId from;
    Address fromAddress;
    PeerMessage message;
};

} // namespace caraway::cell
