#pragma once

#include "Decisions/PeerMessage.h"
#include "Decisions/Settings.h"
#include "Decisions/Task.h"

#include <vector>

namespace caraway {

/// The state of a shard's takeover: which information about earlier attempts is still missing, and
/// the tasks and requests that are deferred until it is complete.
class TakeoverState
{
public:
    /// A query or cancellation of a job that an entry instance may still resubmit.
    struct DeferredRequest
    {
        InstanceId entry;
        HolderRequest request;
        JobName job;
    };

    void start(TimePoint now);
    TimePoint startedAt() const { return startedAt_; }
    /// Records that a worker's lease expired before its inventory was read, so that completions
    /// there are unknown. Until \a until, a resubmitted job counts as one that may have run.
    void markInventoryLost(TimePoint until);

    /// Whether the entry instances have had the time to resubmit their attached jobs.
    bool hasResubmissionWindowEnded(TimePoint now) const;
    /// The event for the tasks of a submitted job whose name is not known to this holder.
    Task::Event submissionEvent(TimePoint now, bool isFirst, bool hasUnreadWorker) const;
    /// The event for the deferred tasks when no worker's inventory is unread any more.
    Task::Event inventoryEvent() const;

    void defer(TaskId task) { deferredTasks_.push_back(std::move(task)); }
    std::vector<TaskId> takeDeferredTasks() { return std::exchange(deferredTasks_, {}); }
    void defer(DeferredRequest request) { deferredRequests_.push_back(std::move(request)); }
    std::vector<DeferredRequest> takeDeferredRequests()
    {
        return std::exchange(deferredRequests_, {});
    }

private:
    TimePoint startedAt_;
    bool inventoryLost_ = false;
    /// Until this time, an unknown job may have run on a worker whose inventory was never read.
    TimePoint inventoryLostUntil_;
    std::vector<TaskId> deferredTasks_;
    std::vector<DeferredRequest> deferredRequests_;
};

} // namespace caraway
