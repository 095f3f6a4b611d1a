#pragma once

#include "Cell/CrashHistory.h"
#include "Core/Lifecycle.h"

#include <set>

namespace caraway::cell {

/// How many tasks of a step wait, and how many have a run on a worker.
struct TaskCounts
{
    std::size_t waiting = 0;
    std::size_t onWorkers = 0;
};

/// One task of an accepted job: its lifecycle and its current run.
class CellTask
{
public:
    enum class State {
        Waiting,
        Unrecorded,
        Lost,
        OnWorker,
        Starting,
        Unconfirmed,
        Running,
        Stopping,
        Done,
        Dropped,
    };
    enum class Event {
        Placed,
        Started,
        Listed,
        Unanswered,
        StopRequested,
        Withdrawn,
        Succeeded,
        Ended,
        Recorded,
        Lost,
        Confirmed,
    };

    CellTask() = default;
    // A copy would change the counts of its step a second time.
    CellTask(const CellTask &) = delete;
    CellTask &operator=(const CellTask &) = delete;
    CellTask(CellTask &&) = default;
    CellTask &operator=(CellTask &&) = default;
    ~CellTask() = default;

    static const BoundChart<CellTask> &chart();

    /// Handles the event; false when the state has no transition for it.
    bool handle(Event event) { return lifecycle_.handle(*this, event); }
    bool isIn(State state) const { return lifecycle_.isIn(state); }
    bool isFinished() const { return lifecycle_.isFinal(); }
    const std::string &stateName() const { return lifecycle_.stateName(); }

    /// Counts the task in \a counts, by its state from now on. \a counts has to outlive the task.
    void countIn(TaskCounts &counts);

    /// Records \a run on \a worker as the current run.
    void assign(WorkerId worker, RunNumber run, TimePoint at);
    /// The task needs no further run; a current one has to be stopped.
    void withdraw();

    /// Counts a crash of a worker under a run; false when it was counted before. The task does not
    /// start again before the crash is recorded.
    bool addCrash(const WorkerCrash &crash, bool isShared);
    void onCrashRecorded();
    void restoreCrashes(CrashHistory crashes) { crashes_ = std::move(crashes); }
    const CrashHistory &crashes() const { return crashes_; }

    const WorkerId &worker() const { return worker_; }
    RunNumber run() const { return run_; }
    /// When the current run was placed or discovered.
    TimePoint placedAt() const { return placedAt_; }

    std::string checkpoint;
    Percent progress;
    /// When the worker listed the progress; when the run was placed, before that.
    TimePoint progressAt;
    std::set<RunNumber> failedRuns;
    /// The last start that is recorded, until its outcome is known.
    std::optional<RecordedStart> recordedStart;

private:
    bool isWithdrawn() const { return withdrawn_; }
    bool hasUnrecordedCrash() const { return unrecordedCrashes_ > 0; }
    void releaseWorker() { worker_ = {}; }
    void countWaiting();
    void uncountWaiting();
    void countOnWorker();
    void uncountOnWorker();

    WorkerId worker_;
    RunNumber run_;
    TimePoint placedAt_;
    bool withdrawn_ = false;
    CrashHistory crashes_;
    std::size_t unrecordedCrashes_ = 0;
    TaskCounts *counts_ = nullptr;
    Lifecycle<CellTask> lifecycle_;
};

} // namespace caraway::cell
