#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway::tests {

/// ID.K.STEP.INDEX, as on the wire.
using SoakTaskId = NameId<struct SoakTaskTag>;
using SoakRunNumber = NumberId<struct SoakRunNumberTag>;
/// The Unix time at which a worker process says that it started, in ms; it may go back.
using SoakIncarnation = NumberId<struct SoakIncarnationTag>;

/// Steady time since the program started.
Milliseconds soakNow();
void soakSleep(Milliseconds duration);
/// Unix time in ms.
std::int64_t soakUnixMs();

/// A run of a task as its worker saw it.
struct SoakRun
{
    SoakTaskId task;
    SoakRunNumber number;
    WorkerId worker;
    SoakIncarnation incarnation;
    std::int64_t fencingToken = 0;
    std::int64_t millicores = 0;
    /// The worker carried the order out later than it arrived.
    bool isLate = false;
    Milliseconds startedAt;
    std::optional<Milliseconds> endedAt;
    /// "crash", or as on the wire.
    std::string how;
    /// Its number in the worker's list of ends; 0 when the worker crashed.
    std::int64_t endNumber = 0;
    /// When a reply first listed the end.
    std::optional<Milliseconds> listedAt;
    /// When the end was acknowledged, and by which token, unless the lease lapsed between the two.
    std::optional<Milliseconds> notedAt;
    std::int64_t notedByToken = 0;
};

/// A request of a client and its answer.
struct SoakAnswer
{
    InstanceId instance;
    JobName job;
    std::string method;
    Milliseconds sentAt;
    Milliseconds receivedAt;
    /// 0: no answer.
    int status = 0;
    std::string state;
};

/// A job that clients handed in.
struct SoakJob
{
    JobName name;
    std::string body;
    std::vector<SoakTaskId> tasks;
    /// Path of its queue.
    std::string queue;
    /// By step: whether its tasks are a gang.
    std::vector<bool> gangs;
    /// How it is shown when nothing is left to run.
    std::string finalState = "completed";
    /// What its runs take, one step after the other, with those that fail.
    Milliseconds longestPath;
    /// What its runs take of the cores, with those that fail.
    Milliseconds coreTime;
    std::optional<Milliseconds> acceptedAt;
    /// Some attempt got no answer, or one that leaves open whether the job was accepted.
    bool isOpen = false;
    bool isCancelSent = false;
    std::optional<Milliseconds> cancelledAt;
};

/// A span in which an instance, a worker or the store was disturbed.
struct SoakDisturbance
{
    std::string target;
    Milliseconds from;
    Milliseconds to;
};

} // namespace caraway::tests
