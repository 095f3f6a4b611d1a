#pragma once

#include "Cell/WorkerCalls.h"

#include <functional>
#include <list>
#include <map>
#include <set>

namespace caraway::tests {

/// A worker in simulated time, with runs under one lease, a list of completions and a fencing
/// token.
class SimulatedWorker
{
public:
    using Reply = std::function<void(const cell::WorkerReply &)>;

    struct Run
    {
        cell::TaskKey task;
        cell::RunNumber run;
        TimePoint startedAt;
        TimePoint completesAt;
        cell::CompletionReason reason = cell::CompletionReason::Succeeded;
        /// When the run crashes the worker's process; nothing when it does not.
        std::optional<TimePoint> crashesAt = std::nullopt;
    };
    struct RunPlan
    {
        Milliseconds duration;
        cell::CompletionReason reason = cell::CompletionReason::Succeeded;
        std::optional<Milliseconds> crashesAfter = std::nullopt;
    };

    cell::WorkerEntry entry;
    /// Whether it refuses a start that exceeds its capacity, which is that of its own entry.
    bool refusesOverload = false;
    /// Returns how long a run lasts and why it completes.
    std::function<RunPlan(const cell::TaskKey &, cell::RunNumber)> plan;
    /// Called for every start and every completion of a run.
    std::function<void(const SimulatedWorker &, const Run &)> onStarted;
    std::function<void(const SimulatedWorker &, const Run &, cell::CompletionReason)> onCompleted;
    /// Called when a completion is acknowledged, unless the lease has expired since it was listed
    /// first.
    std::function<void(const SimulatedWorker &, const cell::CompletedRun &)> onAcknowledged;
    /// Called when the process crashes, before its runs complete, and when it runs again.
    std::function<void(const SimulatedWorker &)> onCrashed;
    std::function<void(const SimulatedWorker &)> onReturned;

    /// The clock is slow by one part in this; zero for a clock that is not.
    std::int64_t clockSlownessDivisor = 0;
    /// Whether it lists the latest completions first.
    bool listsLatestFirst = false;
    /// How long after its run has ended a completion is listed; at once without a function.
    std::function<Milliseconds(cell::CompletionNumber)> listingDelay;
    /// The difference between the numbers of one completion and the next.
    std::uint64_t numberInterval = 1;
    /// Whether it carries out calls that are meant for another incarnation.
    bool executesCallsForOthers = false;

    void handle(TimePoint now, const cell::WorkerRequest &request, const Reply &reply);
    void tick(TimePoint now);
    /// Checkpoints of the runs that end for a reason.
    std::map<cell::CompletionReason, std::string> checkpoints;
    /// How long a stop of a run takes.
    Milliseconds stopDuration;
    /// Whether calls that wait for a reply fail at once when the process ends. Otherwise, as behind
    /// a partition, they are never answered.
    bool resetsConnections = true;
    /// Restarts the process: a new incarnation with the same id and without runs.
    void restart(TimePoint now);
    /// Ends the process and all its runs; it restarts after the downtime.
    void crash(TimePoint now);
    Milliseconds downtime {5000};
    bool isDown() const { return returnsAt_.has_value(); }
    /// Ends all runs without a completion.
    void loseRuns();
    /// The number of completions that were acknowledged before any reply listed them.
    std::size_t acknowledgedUnlisted() const { return acknowledgedUnlisted_; }
    /// Ends the process and all its runs for good; nothing answers at its address.
    void leave();
    bool hasLeft() const { return hasLeft_; }
    /// Ends the members of a gang that run here, as a member has ended elsewhere.
    void breakGang(TimePoint now, const cell::StepKey &step, cell::RunNumber run);
    const std::vector<Run> &running() const { return running_; }
    /// The number of completions that it still lists.
    std::size_t unacknowledged() const { return completed_.size(); }
    cell::WorkerTime clock(TimePoint now) const;

private:
    struct PendingHeartbeat
    {
        TimePoint deadline;
        Reply reply;
    };

    static Percent progressOf(const Run &run, TimePoint now);
    cell::WorkerReply listRuns(TimePoint now) const;
    void extendLease(cell::WorkerTime deadline)
    {
        leaseDeadline_ = std::max(leaseDeadline_, deadline);
    }
    /// The completions that a reply lists now.
    std::vector<cell::CompletedRun> listed(TimePoint now) const;
    bool fits() const;
    cell::WorkerReply start(TimePoint now, const cell::WorkerStart &command);
    void complete(TimePoint now, std::size_t index, cell::CompletionReason reason);
    void acknowledge(cell::CompletionNumber number);
    void answerHeartbeats(TimePoint now);
    void dropHeartbeats();

    TimePoint startedAt_;
    cell::FencingToken token_;
    cell::WorkerTime leaseDeadline_;
    std::vector<Run> running_;
    std::vector<cell::CompletedRun> completed_;
    /// From when on completions are listed.
    std::map<cell::CompletionNumber, TimePoint> listedFrom_;
    std::set<cell::CompletionNumber> listed_;
    std::size_t acknowledgedUnlisted_ = 0;
    /// The last completion before the latest expiry of the lease.
    std::uint64_t lastBeforeExpiry_ = 0;
    std::vector<std::pair<cell::TaskKey, cell::RunNumber>> closedRuns_;
    std::uint64_t lastCompletion_ = 0;
    std::list<PendingHeartbeat> pendingHeartbeats_;
    bool hasLeft_ = false;
    std::optional<TimePoint> returnsAt_;
};

} // namespace caraway::tests
