#pragma once

#include "Cell/WorkerCalls.h"

#include <functional>
#include <list>

namespace caraway::tests {

/// A worker in simulated time: runs under one lease, a list of ends, and a fencing token.
class SimulatedWorker
{
public:
    using Reply = std::function<void(const cell::WorkerReply &)>;

    struct Run
    {
        cell::TaskKey task;
        cell::RunNumber run;
        TimePoint startedAt;
        TimePoint endsAt;
        cell::EndReason ending = cell::EndReason::Done;
    };
    struct StartPlan
    {
        Milliseconds duration;
        cell::EndReason ending = cell::EndReason::Done;
    };

    cell::WorkerEntry entry;
    /// How long a task runs and how it ends.
    std::function<StartPlan(const cell::TaskKey &, cell::RunNumber)> plan;
    /// Told of every start and end.
    std::function<void(const SimulatedWorker &, const Run &)> started;
    std::function<void(const SimulatedWorker &, const Run &, cell::EndReason)> ended;

    void handle(TimePoint now, const cell::WorkerRequest &request, const Reply &reply);
    void tick(TimePoint now);
    /// The process dies and starts again under its id.
    void restart(TimePoint now);
    const std::vector<Run> &running() const { return running_; }

private:
    struct Held
    {
        TimePoint until;
        Reply reply;
    };

    cell::WorkerTime clock(TimePoint now) const;
    cell::WorkerReply lists(TimePoint now) const;
    void extend(cell::WorkerTime deadline) { leaseUntil_ = std::max(leaseUntil_, deadline); }
    cell::WorkerReply start(TimePoint now, const cell::WorkerStart &order);
    void end(TimePoint now, std::size_t index, cell::EndReason reason);
    void wakeHeld(TimePoint now);

    TimePoint bornAt_;
    cell::FencingToken token_;
    cell::WorkerTime leaseUntil_;
    std::vector<Run> running_;
    std::vector<cell::EndedTask> ended_;
    std::vector<std::pair<cell::TaskKey, cell::RunNumber>> closed_;
    std::uint64_t lastEnd_ = 0;
    std::list<Held> held_;
};

} // namespace caraway::tests
