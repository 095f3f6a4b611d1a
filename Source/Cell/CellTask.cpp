#include "Cell/CellTask.h"

namespace caraway::cell {

const BoundChart<CellTask> &CellTask::chart()
{
    static const BoundChart<CellTask> bound = BoundChart<CellTask> {
            "CellTask.scxml",
            {"waiting", "onWorker", "starting", "unconfirmed", "running", "stopping", "done",
             "dropped"},
            {"placed", "started", "listed", "unanswered", "stopRequested", "withdrawn", "succeeded",
             "ended"},
            {{"isWithdrawn", &CellTask::isWithdrawn}},
            {{"releaseWorker",
              &CellTask::releaseWorker}}}.loadedOrAbort();
    return bound;
}

void CellTask::assign(WorkerId worker, RunNumber run, TimePoint at)
{
    worker_ = std::move(worker);
    run_ = run;
    placedAt_ = at;
    progress = {};
    progressAt = at;
}

void CellTask::withdraw()
{
    withdrawn_ = true;
    handle(Event::Withdrawn);
}

} // namespace caraway::cell
