#include "Decisions/Task.h"

#include <algorithm>
#include <utility>

namespace caraway {

const BoundChart<Task> &Task::chart()
{
    static const BoundChart<Task> bound = BoundChart<Task> {
            "Task.scxml",
            {"notSubmitted", "deferred", "cancelPending", "queued", "onWorker", "starting",
             "unconfirmed", "running", "stopping", "done", "failed", "unknown", "cancelled"},
            {"submitted", "deferred", "inventoriesRead", "inventoryLost", "placed", "started",
             "refused", "unanswered", "discovered", "succeeded", "failed", "leaseExpired",
             "cancelRequested"},
            {{"mayRetry", &Task::mayRetry}, {"mayRetryFailure", &Task::mayRetryFailure}},
            {{"releaseAllocation", &Task::releaseAllocation},
             {"enqueue", &Task::enqueue},
             {"stopAttempt", &Task::stopAttempt},
             {"voidAttempt", &Task::voidAttempt}}}.loadedOrAbort();
    return bound;
}

Task::Effects Task::handle(Event event)
{
    effects_ = {};
    // Events that do not show that an attempt may have run; after any other event, one may have. An
    // unanswered start counts only when a later event shows that it may have run.
    constexpr Event withoutRun[]
            = {Event::Submitted, Event::Deferred,   Event::InventoriesRead, Event::Placed,
               Event::Refused,   Event::Unanswered, Event::CancelRequested};
    const bool wasHandled = lifecycle_.handle(*this, event);
    if (wasHandled && std::ranges::find(withoutRun, event) == std::end(withoutRun))
        mayHaveRun_ = true;
    return std::exchange(effects_, {});
}

void Task::placeOn(const WorkerId &worker, Epoch epoch)
{
    worker_ = worker;
    attempt_ = std::max(attempt_, lastAttemptBefore(epoch)).next();
}

void Task::adopt(const WorkerId &worker, AttemptNumber attempt)
{
    worker_ = worker;
    attempt_ = attempt;
}

} // namespace caraway
