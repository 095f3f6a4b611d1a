#pragma once

#include "Decisions/Actions.h"
#include "Decisions/JobTable.h"
#include "Decisions/Policy/TaskPlacer.h"
#include "Decisions/Settings.h"
#include "Decisions/TakeoverState.h"
#include "Decisions/WorkerSession.h"

#include <map>
#include <vector>

namespace caraway {

/// Schedules the tasks of one shard while this instance holds it.
template<SchedulingPolicy Policy>
class ShardScheduler
{
public:
    ShardScheduler(ShardId shard, const DecisionSettings &settings);

    /// Discards all jobs and allocations and reads the inventory of every worker again.
    void startRecovery(TimePoint now, Epoch epoch);
    /// Whether starts may be sent to at least one worker. A worker whose inventory is unread blocks
    /// only itself and the jobs that may be running on it.
    bool isRecovered() const;
    /// Replaces the shard's worker list by \a workers from the instance list.
    void setWorkers(TimePoint now, const std::vector<WorkerMember> &workers);

    void usePreset(const Preset &preset);
    void setFleetCapacity(const Resources &capacity) { placer_.setFleetCapacity(capacity); }
    void onRequest(TimePoint now, const InstanceId &entry, const HolderRequest &request);
    void onStartAnswered(TimePoint now, const StartAnswered &answer);
    void onHeartbeatAnswered(TimePoint now, const HeartbeatAnswered &answer);
    void onTaskReported(TimePoint now, const TaskReported &report);
    /// Places queued tasks, if \a now is before \a startsEndAt, and sends due heartbeats. The shard
    /// lease expires at \a leaseEndsAt.
    void onTick(TimePoint now, TimePoint startsEndAt, TimePoint leaseEndsAt);

    /// Whether a start was sent and not yet answered.
    bool hasStartsInFlight() const;
    std::vector<WorkerRow> workerRows() const;
    std::size_t queuedTaskCount() const { return placer_.queuedTaskCount(); }
    std::size_t jobCount() const { return jobs_.size(); }
    /// Appends the actions produced since the last call to \a actions.
    void drainActions(Actions &actions);

private:
    void submit(TimePoint now, const InstanceId &entry, RequestId request,
                const HolderSubmit &body);
    void query(TimePoint now, const InstanceId &entry, RequestId request, const HolderQuery &body);
    void cancel(TimePoint now, const InstanceId &entry, RequestId request,
                const HolderCancel &body);
    std::optional<Refusal> refusalOf(TimePoint now, const JobSpec &spec) const;
    void refuse(TimePoint now, const InstanceId &entry, RequestId request, const Refusal &refusal,
                const HolderSubmit &body);
    void cancelTasks(TimePoint now, JobRecord &job);
    void stopRestOfGang(TimePoint now, JobRecord &job);
    Task::Event submissionEvent(TimePoint now, const HolderSubmit &body) const;
    bool isTakeoverComplete(TimePoint now) const;
    bool hasUnreadWorker() const;
    void retryDeferredRequests(TimePoint now);
    void resumeDeferredTasks(TimePoint now);
    void replyOrWait(TimePoint now, JobRecord &job, JobRecord::Waiter waiter);
    void reply(const InstanceId &entry, RequestId request, JobReport report);

    void updateWorkerInPlacer(const WorkerSession &worker);
    void applyEjections();
    void placeQueuedTasks(TimePoint now, TimePoint startsEndAt);
    void start(TimePoint now, const PlacedTask &placed, TimePoint startsEndAt);
    void sendHeartbeats(TimePoint now, TimePoint leaseEndsAt);
    void expireLeases(TimePoint now);
    void eraseRemovedWorkers(TimePoint now);
    void markAttemptLost(TimePoint now, const TaskId &task);
    void replyToTimedOutWaits(TimePoint now);
    void removeExpiredJobs(TimePoint now);
    void removeJob(const JobRecord &job);

    void handleInventoryEntry(TimePoint now, const WorkerId &worker, const InventoryEntry &entry);
    JobRecord *findOrAdopt(TimePoint now, const InventoryEntry &entry);
    void recordCompletion(TimePoint now, JobRecord &job, const InventoryEntry &entry);
    void handleTaskEvent(TimePoint now, JobRecord &job, TaskIndex index, Task::Event event);
    void observeStart(const KindId &kind, Milliseconds waited);
    void finishJobIfDone(TimePoint now, JobRecord &job);
    JobRecord *findJob(const JobName &name) { return jobs_.find(name); }
    Task *findAttempt(const TaskId &task, AttemptNumber attempt, const WorkerId &worker);

    ShardId shard_;
    const DecisionSettings &settings_;
    Epoch epoch_;
    TaskPlacer<Policy> placer_;
    typename Policy::Ejection ejection_;
    typename Policy::Retries retries_;
    std::map<WorkerId, WorkerSession> workers_;
    JobTable jobs_;
    TakeoverState takeover_;
    Actions actions_;
};

} // namespace caraway
