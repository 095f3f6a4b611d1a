#include "Cell/CellTask.h"

namespace caraway::cell {

const BoundChart<CellTask> &CellTask::chart()
{
    static const BoundChart<CellTask> bound = BoundChart<CellTask> {
            "CellTask.scxml",
            {"waiting", "unrecorded", "lost", "onWorker", "starting", "unconfirmed", "running",
             "stopping", "done", "dropped"},
            {"placed", "started", "listed", "unanswered", "stopRequested", "withdrawn", "succeeded",
             "ended", "recorded", "lost", "confirmed"},
            {{"isWithdrawn", &CellTask::isWithdrawn},
             {"hasUnrecordedCrash", &CellTask::hasUnrecordedCrash}},
            {{"releaseWorker", &CellTask::releaseWorker},
             {"countWaiting", &CellTask::countWaiting},
             {"uncountWaiting", &CellTask::uncountWaiting},
             {"countOnWorker", &CellTask::countOnWorker},
             {"uncountOnWorker",
              &CellTask::uncountOnWorker}}}.loadedOrAbort();
    return bound;
}

void CellTask::countIn(TaskCounts &counts)
{
    counts_ = &counts;
    if (isIn(State::Waiting))
        countWaiting();
    if (isIn(State::OnWorker))
        countOnWorker();
}

void CellTask::countWaiting()
{
    if (counts_)
        ++counts_->waiting;
}

void CellTask::uncountWaiting()
{
    if (counts_)
        --counts_->waiting;
}

void CellTask::countOnWorker()
{
    if (counts_)
        ++counts_->onWorkers;
}

void CellTask::uncountOnWorker()
{
    if (counts_)
        --counts_->onWorkers;
}

void CellTask::assign(WorkerId worker, RunNumber run, TimePoint at)
{
    worker_ = std::move(worker);
    run_ = run;
    placedAt_ = at;
    progress = {};
    progressAt = at;
}

bool CellTask::addCrash(const WorkerCrash &crash, bool isShared)
{
    if (!crashes_.add(crash, isShared))
        return false;
    ++unrecordedCrashes_;
    return true;
}

void CellTask::onCrashRecorded()
{
    --unrecordedCrashes_;
    if (!hasUnrecordedCrash())
        handle(Event::Recorded);
}

void CellTask::withdraw()
{
    withdrawn_ = true;
    handle(Event::Withdrawn);
}

} // namespace caraway::cell
