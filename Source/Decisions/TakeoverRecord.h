#pragma once

#include "Decisions/PeerMessage.h"
#include "Decisions/Settings.h"
#include "Decisions/Task.h"

#include <vector>

namespace caraway {

/// What the holder of a shard cannot know yet since it took the shard over, and the tasks and
/// requests that wait until it does.
class TakeoverRecord
{
public:
    /// A question about a job that an entry may be about to submit again.
    struct HeldRequest
    {
        InstanceId entry;
        HolderRequest request;
        JobName job;
    };

    void begin(TimePoint now);
    TimePoint begunAt() const { return begunAt_; }
    /// A worker could not be read before its leases lapsed: what ended there is not known.
    void noteLostInventory(TimePoint until);

    /// Whether the entries have had the time to submit again what they hold.
    bool isResubmissionOver(TimePoint now) const;
    /// What a submission of a name that was not found means for its tasks.
    Task::Event submissionEvent(TimePoint now, bool isFirst, bool hasUnreadWorker) const;
    /// What the end of the reading means for the tasks that waited for it.
    Task::Event readingEndedEvent() const;

    void hold(TaskId task) { tasks_.push_back(std::move(task)); }
    std::vector<TaskId> takeTasks() { return std::exchange(tasks_, {}); }
    void hold(HeldRequest request) { requests_.push_back(std::move(request)); }
    std::vector<HeldRequest> takeRequests() { return std::exchange(requests_, {}); }

private:
    TimePoint begunAt_;
    bool lostInventory_ = false;
    /// Until then a name that is not found may be one that ran on a worker that was never read.
    TimePoint lostUntil_;
    std::vector<TaskId> tasks_;
    std::vector<HeldRequest> requests_;
};

} // namespace caraway
