#pragma once

#include "Cell/CellTypes.h"
#include "Core/Lifecycle.h"

#include <set>

namespace caraway::cell {

/// One task of an accepted job: its lifecycle and its present run.
class CellTask
{
public:
    enum class State { Waiting, OnWorker, Starting, Doubtful, Running, Stopping, Done, Dropped };
    enum class Event {
        Placed,
        Started,
        Found,
        Unanswered,
        StopRequested,
        Withdrawn,
        Succeeded,
        Ended,
    };

    static const BoundChart<CellTask> &chart();

    /// Takes a step; false when the event means nothing in this state.
    bool handle(Event event) { return lifecycle_.handle(*this, event); }
    bool isIn(State state) const { return lifecycle_.isIn(state); }
    bool isOver() const { return lifecycle_.isFinal(); }
    const std::string &stateName() const { return lifecycle_.stateName(); }

    /// Gives the task a run on a worker.
    void assign(WorkerId worker, RunNumber run, TimePoint at);
    void withdraw();

    const WorkerId &worker() const { return worker_; }
    RunNumber run() const { return run_; }
    /// When the present run was placed or found.
    TimePoint placedAt() const { return placedAt_; }

    std::string checkpoint;
    Percent progress;
    std::set<RunNumber> failedRuns;

private:
    bool isWithdrawn() const { return withdrawn_; }
    void releaseRoom() { worker_ = {}; }

    WorkerId worker_;
    RunNumber run_;
    TimePoint placedAt_;
    bool withdrawn_ = false;
    Lifecycle<CellTask> lifecycle_;
};

} // namespace caraway::cell
