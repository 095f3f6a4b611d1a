#include "Decisions/Task.h"

#include <algorithm>
#include <utility>

namespace caraway {

const BoundChart<Task> &Task::chart()
{
    static const BoundChart<Task> bound = BoundChart<Task> {
            "Task.scxml",
            {"waiting", "onWorker", "starting", "doubtful", "running", "stopping", "done",
             "failedForGood", "unknown", "dropped"},
            {"placed", "started", "refused", "unanswered", "found", "succeeded", "failed",
             "leaseLapsed", "cancelled"},
            {{"mayRetry", &Task::mayRetry}},
            {{"releaseReservation", &Task::releaseReservation},
             {"requeue", &Task::requeue},
             {"stopAttempt", &Task::stopAttempt},
             {"voidAttempt", &Task::voidAttempt}}}.loadedOrAbort();
    return bound;
}

Task::Effects Task::handle(Event event)
{
    effects_ = {};
    machine_.handle(*this, event);
    everRan_ = everRan_ || isIn(State::Running) || isIn(State::Done) || isIn(State::FailedForGood);
    return std::exchange(effects_, {});
}

void Task::placeOn(const WorkerId &worker, Epoch epoch)
{
    worker_ = worker;
    attempt_ = std::max(attempt_, attemptsBefore(epoch)).next();
}

void Task::adopt(const WorkerId &worker, AttemptNumber attempt)
{
    worker_ = worker;
    attempt_ = attempt;
}

} // namespace caraway
