#include "Decisions/ShardScheduler.h"

#include "Decisions/Policy/BaselinePolicy.h"
#include "Decisions/Policy/StandardPolicy.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

namespace {

/// Whether \a task has no attempt of its own and can adopt one that another holder started.
bool hasNoAttempt(const Task &task)
{
    return task.isIn(Task::State::Queued) || task.isIn(Task::State::NotSubmitted)
            || task.isIn(Task::State::Deferred) || task.isIn(Task::State::CancelPending);
}

/// Whether a task without an attempt adopts \a entry, an attempt that another holder started or
/// that was given up. A failed attempt is adopted only if the task may not be retried.
bool isAdoptable(const JobSpec &spec, const InventoryEntry &entry)
{
    return entry.condition == TaskCondition::Running || entry.condition == TaskCondition::Succeeded
            || !spec.idempotent;
}

} // namespace

template<SchedulingPolicy Policy>
ShardScheduler<Policy>::ShardScheduler(ShardId shard, const DecisionSettings &settings)
    : shard_(std::move(shard))
    , settings_(settings)
{
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::startRecovery(TimePoint now, Epoch epoch)
{
    epoch_ = epoch;
    takeover_.start(now);
    placer_.reset();
    jobs_.clear();
    for (auto &[id, worker] : workers_)
        worker.startRecovery(now);
}

template<SchedulingPolicy Policy>
bool ShardScheduler<Policy>::isRecovered() const
{
    return !hasUnreadWorker() || std::ranges::any_of(workers_, [](const auto &entry) {
        return entry.second.isOpen();
    });
}

template<SchedulingPolicy Policy>
bool ShardScheduler<Policy>::hasUnreadWorker() const
{
    return std::ranges::any_of(workers_, [](const auto &entry) { return entry.second.isUnread(); });
}

template<SchedulingPolicy Policy>
bool ShardScheduler<Policy>::isTakeoverComplete(TimePoint now) const
{
    return !hasUnreadWorker() && takeover_.hasResubmissionWindowEnded(now);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::setWorkers(TimePoint now, const std::vector<WorkerMember> &workers)
{
    for (auto &[id, worker] : workers_) {
        if (std::ranges::find(workers, id, &WorkerMember::id) == workers.end()) {
            worker.markRemoved(now);
            placer_.closeWorker(id);
        }
    }
    for (const WorkerMember &member : workers) {
        // The leases of attempts of an earlier holder expire at the same time on every worker.
        WorkerSession &worker
                = workers_.try_emplace(member.id, member, takeover_.startedAt(), settings_)
                          .first->second;
        worker.expireLeaseIfDue(now);
        worker.updateMember(member);
        updateWorkerInPlacer(worker);
    }
    ejection_.setWorkerCount(workers.size());
    eraseRemovedWorkers(now);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::eraseRemovedWorkers(TimePoint now)
{
    for (auto entry = workers_.begin(); entry != workers_.end();) {
        if (entry->second.isRemovable(now)) {
            placer_.removeWorker(entry->first);
            entry = workers_.erase(entry);
        } else {
            ++entry;
        }
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::usePreset(const Preset &preset)
{
    placer_.usePreset(preset);
    retries_.usePreset(preset);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onRequest(TimePoint now, const InstanceId &entry,
                                       const HolderRequest &request)
{
    if (const auto *submission = std::get_if<HolderSubmit>(&request.body))
        submit(now, entry, request.id, *submission);
    else if (const auto *queryBody = std::get_if<HolderQuery>(&request.body))
        query(now, entry, request.id, *queryBody);
    else if (const auto *cancellation = std::get_if<HolderCancel>(&request.body))
        cancel(now, entry, request.id, *cancellation);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::submit(TimePoint now, const InstanceId &entry, RequestId request,
                                    const HolderSubmit &body)
{
    JobRecord *job = findJob(body.spec.name);
    if (job && job->spec() != body.spec) {
        const std::string message
                = fmt::format("The name {} is in use by a different job. Submit this "
                              "job under a new name.",
                              body.spec.name.value());
        reply(entry, request,
              {.name = body.spec.name,
               .state = JobState::NotRun,
               .error = Error {ErrorKind::NameInUse, message}});
        return;
    }
    if (!job) {
        if (const std::optional<Refusal> refusal = refusalOf(now, body.spec)) {
            refuse(now, entry, request, *refusal, body);
            return;
        }
        job = &jobs_.findOrAdd(body.spec);
    }
    const Task::Event event = submissionEvent(now, body);
    for (std::uint64_t i = 0; i < body.spec.taskCount; ++i) {
        if (job->task(TaskIndex(i)).isIn(Task::State::NotSubmitted))
            handleTaskEvent(now, *job, TaskIndex(i), event);
    }
    replyOrWait(now, *job, {entry, request, now + body.wait});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::query(TimePoint now, const InstanceId &entry, RequestId request,
                                   const HolderQuery &body)
{
    if (JobRecord *job = findJob(body.name)) {
        replyOrWait(now, *job, {entry, request, now + body.wait});
        return;
    }
    if (!isTakeoverComplete(now)) {
        takeover_.defer({entry, {shard_, request, body}, body.name});
        return;
    }
    const std::string message = fmt::format("Job {} is unknown. Check the name, or submit the job "
                                            "again under the same name.",
                                            body.name.value());
    reply(entry, request,
          {.name = body.name,
           .state = JobState::Unknown,
           .error = Error {ErrorKind::UnknownJob, message}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::cancel(TimePoint now, const InstanceId &entry, RequestId request,
                                    const HolderCancel &body)
{
    JobRecord *job = findJob(body.name);
    if (!job && !isTakeoverComplete(now)) {
        takeover_.defer({entry, {shard_, request, body}, body.name});
        return;
    }
    if (job)
        cancelTasks(now, *job);
    query(now, entry, request, {body.name, Milliseconds()});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::cancelTasks(TimePoint now, JobRecord &job)
{
    for (std::uint64_t i = 0; i < job.spec().taskCount; ++i) {
        if (job.task(TaskIndex(i)).isIn(Task::State::Queued))
            placer_.withdraw({job.spec().name, TaskIndex(i)});
        handleTaskEvent(now, job, TaskIndex(i), Task::Event::CancelRequested);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::retryDeferredRequests(TimePoint now)
{
    const bool isComplete = isTakeoverComplete(now);
    for (TakeoverState::DeferredRequest &each : takeover_.takeDeferredRequests()) {
        if (isComplete || findJob(each.job))
            onRequest(now, each.entry, each.request);
        else
            takeover_.defer(std::move(each));
    }
}

template<SchedulingPolicy Policy>
Task::Event ShardScheduler<Policy>::submissionEvent(TimePoint now, const HolderSubmit &body) const
{
    return takeover_.submissionEvent(now, body.isFirst, hasUnreadWorker());
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::resumeDeferredTasks(TimePoint now)
{
    if (hasUnreadWorker())
        return;
    for (const TaskId &task : takeover_.takeDeferredTasks()) {
        if (JobRecord *job = findJob(task.job))
            handleTaskEvent(now, *job, task.index, takeover_.inventoryEvent());
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::replyOrWait(TimePoint now, JobRecord &job, JobRecord::Waiter waiter)
{
    if (!job.isOpen() || waiter.until <= now)
        reply(waiter.entry, waiter.request, job.report());
    else {
        jobs_.scheduleWaitTimeout(waiter.until, job.spec().name);
        job.addWaiter(std::move(waiter));
    }
}

template<SchedulingPolicy Policy>
std::optional<Refusal> ShardScheduler<Policy>::refusalOf(TimePoint now, const JobSpec &spec) const
{
    if (spec.durability == Durability::Detached) {
        return Refusal {{ErrorKind::Unavailable,
                         "This version does not store detached jobs. Submit the job as attached."}};
    }
    return placer_.refusalOf(now, spec);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::refuse(TimePoint now, const InstanceId &entry, RequestId request,
                                    const Refusal &refusal, const HolderSubmit &body)
{
    const std::string kind(errorKindName(refusal.error.kind));
    actions_.push_back(Observe {{Metric::JobsRefused, 1, kind}});
    // The request is refused, but an earlier submission of the job may have run on a worker whose
    // inventory is unread or lost.
    const bool mayHaveRun = submissionEvent(now, body) != Task::Event::Submitted;
    reply(entry, request,
          {.name = body.spec.name,
           .state = mayHaveRun ? JobState::Unknown : JobState::NotRun,
           .error = refusal.error,
           .retryAfter = refusal.retryAfter});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::reply(const InstanceId &entry, RequestId request, JobReport report)
{
    actions_.push_back(SendToPeer {entry, HolderReply {request, false, std::move(report)}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onStartAnswered(TimePoint now, const StartAnswered &answer)
{
    const auto worker = workers_.find(answer.worker);
    if (worker == workers_.end() || !findAttempt(answer.task, answer.attempt, answer.worker))
        return;
    constexpr Task::Event events[] = {Task::Event::Started, Task::Event::Refused,
                                      Task::Event::Refused, Task::Event::Unanswered};
    handleTaskEvent(now, *findJob(answer.task.job), answer.task.index,
                    events[static_cast<std::size_t>(answer.outcome)]);
    // A refusal is valid in any case, but an attempt that was started has ended with its session.
    if (!worker->second.isInSession(answer.task))
        markAttemptLost(now, answer.task);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onHeartbeatAnswered(TimePoint now, const HeartbeatAnswered &answer)
{
    const auto found = workers_.find(answer.worker);
    if (found == workers_.end())
        return;
    WorkerSession &worker = found->second;
    if (!answer.answered) {
        worker.onUnanswered();
        updateWorkerInPlacer(worker);
        return;
    }
    const std::vector<TaskId> ended = worker.onAnswered(now, answer);
    updateWorkerInPlacer(worker);
    for (const InventoryEntry &entry : answer.tasks)
        handleInventoryEntry(now, answer.worker, entry);
    for (const auto &[task, attempt] : answer.voided) {
        worker.removeVoided({task, attempt});
        // A worker that lost its session may have lost the record that it ran the attempt.
        if (findAttempt(task, attempt, answer.worker) && worker.isInSession(task))
            handleTaskEvent(now, *findJob(task.job), task.index, Task::Event::Refused);
    }
    for (const TaskId &task : ended) {
        // Only the answer to the start itself shows whether the start was refused.
        if (!findJob(task.job)->task(task.index).isIn(Task::State::Starting))
            markAttemptLost(now, task);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onTaskReported(TimePoint now, const TaskReported &report)
{
    const auto found = workers_.find(report.worker);
    if (found != workers_.end() && !found->second.isUnread())
        handleInventoryEntry(now, report.worker, report.entry);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::handleInventoryEntry(TimePoint now, const WorkerId &worker,
                                                  const InventoryEntry &entry)
{
    JobRecord *job = findOrAdopt(now, entry);
    if (!job || !job->hasTask(entry.task.index))
        return;
    Task &task = job->task(entry.task.index);
    WorkerSession &session = workers_.at(worker);
    const WorkerSession::Attempt attempt {entry.task, entry.attempt};
    session.removeVoided(attempt);
    if (hasNoAttempt(task)) {
        if (!isAdoptable(job->spec(), entry)) {
            session.addAcknowledged(attempt);
            return;
        }
        placer_.withdraw(entry.task);
        task.adopt(worker, entry.attempt);
        placer_.onDiscovered(worker, job->spec(), entry.task.index);
        session.addAttempt(entry.task);
    } else if (task.attempt() != entry.attempt || task.worker() != worker) {
        if (entry.condition != TaskCondition::Running)
            session.addAcknowledged(attempt);
        return;
    }
    handleTaskEvent(now, *job, entry.task.index, Task::Event::Discovered);
    if (entry.condition != TaskCondition::Running)
        recordCompletion(now, *job, entry);
    else if (entry.spec)
        session.addKnown(attempt);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::recordCompletion(TimePoint now, JobRecord &job,
                                              const InventoryEntry &entry)
{
    // Damaged content is ignored: the worker sends it again until it is acknowledged.
    if (!entry.intact)
        return;
    Task &task = job.task(entry.task.index);
    const WorkerId worker = task.worker();
    const WorkerSession::Attempt attempt {entry.task, entry.attempt};
    if (task.isIn(Task::State::OnWorker)) {
        const bool succeeded = entry.condition == TaskCondition::Succeeded;
        task.answer = {entry.task.index, entry.attempt, worker, succeeded, entry.content};
        // A stopped attempt isn't counted as a failure of its task.
        if (entry.condition == TaskCondition::Failed)
            task.setRetryGranted(retries_.grant(job.spec().kind, task.countFailure()));
        ejection_.onOutcome(now, worker, {job.spec().kind, job.spec().name, !succeeded});
        handleTaskEvent(now, job, entry.task.index,
                        succeeded ? Task::Event::Succeeded : Task::Event::Failed);
    }
    // Until the job is removed, another holder must discover the attempt, or it would run again.
    if (task.isFinal())
        workers_.at(worker).addKnown(attempt);
    else
        workers_.at(worker).addAcknowledged(attempt);
}

template<SchedulingPolicy Policy>
JobRecord *ShardScheduler<Policy>::findOrAdopt(TimePoint now, const InventoryEntry &entry)
{
    JobRecord *job = findJob(entry.task.job);
    if (job || !entry.spec || entry.spec->name != entry.task.job
        || !isAdoptable(*entry.spec, entry))
        return job;
    jobs_.scheduleRetentionCheck(now + settings_.answerRetention, entry.task.job);
    return &jobs_.findOrAdd(*entry.spec);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::handleTaskEvent(TimePoint now, JobRecord &job, TaskIndex index,
                                             Task::Event event)
{
    Task &task = job.task(index);
    const bool wasRunning = task.isIn(Task::State::Running);
    const TaskId id {job.spec().name, index};
    const Task::Effects effects = job.handle(index, event);
    if (effects.releaseAllocation) {
        placer_.onReleased(task.worker(), job.spec(), index);
        workers_.at(task.worker()).removeAttempt(id);
    }
    if (effects.enqueue) {
        task.queuedAt = now;
        placer_.enqueue(now, job.spec(), index);
    }
    if (event == Task::Event::Deferred || task.isIn(Task::State::CancelPending))
        takeover_.defer(id);
    if (effects.stopAttempt)
        workers_.at(task.worker()).addStopped({id, task.attempt()});
    if (effects.voidAttempt)
        workers_.at(task.worker()).addVoided({id, task.attempt()});
    // A task that was adopted while running was not queued at this holder.
    const bool wasQueuedHere = task.queuedAt != TimePoint();
    if (!wasRunning && wasQueuedHere && task.isIn(Task::State::Running)) {
        job.waited = std::max(job.waited, now - task.queuedAt);
        observeStart(job.spec().kind, now - task.queuedAt);
    }
    finishJobIfDone(now, job);
    stopRestOfGang(now, job);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::observeStart(const KindId &kind, Milliseconds waited)
{
    constexpr double millisecondsPerSecond = 1000;
    const double seconds = static_cast<double>(waited.count()) / millisecondsPerSecond;
    actions_.push_back(Observe {{Metric::TaskStarts, 1, kind.value()}});
    actions_.push_back(Observe {{Metric::TaskWaitSeconds, seconds, kind.value()}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::finishJobIfDone(TimePoint now, JobRecord &job)
{
    if (job.isOpen() || job.finishedAt != TimePoint())
        return;
    job.finishedAt = now;
    jobs_.scheduleRetentionCheck(now + settings_.answerRetention, job.spec().name);
    actions_.push_back(Observe {{Metric::JobsEnded, 1, job.stateName()}});
    const JobReport report = job.report();
    for (const JobRecord::Waiter &waiter : job.waiters)
        reply(waiter.entry, waiter.request, report);
    job.waiters.clear();
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::stopRestOfGang(TimePoint now, JobRecord &job)
{
    if (!job.spec().gang || !job.isOpen() || !job.cannotSucceed() || job.isStopping)
        return;
    job.isStopping = true;
    cancelTasks(now, job);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onTick(TimePoint now, TimePoint startsEndAt, TimePoint leaseEndsAt)
{
    expireLeases(now);
    ejection_.onTick(now);
    applyEjections();
    resumeDeferredTasks(now);
    retryDeferredRequests(now);
    placeQueuedTasks(now, startsEndAt);
    sendHeartbeats(now, leaseEndsAt);
    replyToTimedOutWaits(now);
    removeExpiredJobs(now);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::updateWorkerInPlacer(const WorkerSession &worker)
{
    WorkerMember member = worker.member();
    const WorkAllowance allowance = ejection_.allowanceOf(member.id);
    // A single slot limits the worker to one task at a time.
    if (allowance == WorkAllowance::OneTask)
        member.capacity.slots = std::min(member.capacity.slots, Slots(1));
    placer_.setWorker(member, worker.isOpen() && allowance != WorkAllowance::None);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::applyEjections()
{
    for (const AllowanceChange &change : ejection_.takeChanges()) {
        const auto found = workers_.find(change.worker);
        if (found == workers_.end())
            continue;
        updateWorkerInPlacer(found->second);
        actions_.push_back(LogChange {fmt::format("worker {}", change.worker.value()),
                                      fmt::format("health is {}", change.state)});
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::placeQueuedTasks(TimePoint now, TimePoint startsEndAt)
{
    if (now >= startsEndAt || !isRecovered())
        return;
    for (const PlacedTask &placed : placer_.place(now))
        start(now, placed, startsEndAt);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::start(TimePoint now, const PlacedTask &placed, TimePoint startsEndAt)
{
    const TaskId &id = placed.queued.task;
    JobRecord &job = *findJob(id.job);
    Task &task = job.task(id.index);
    WorkerSession &worker = workers_.at(placed.worker);
    if (task.attempt() == AttemptNumber())
        retries_.onFirstStart(job.spec().kind);
    task.placeOn(placed.worker, epoch_);
    worker.addAttempt(id);
    handleTaskEvent(now, job, id.index, Task::Event::Placed);
    actions_.push_back(CallWorker {StartTask {shard_, placed.worker, worker.member().endpoint, id,
                                              task.attempt(), epoch_, job.spec(), worker.session(),
                                              startsEndAt}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::sendHeartbeats(TimePoint now, TimePoint leaseEndsAt)
{
    const TimePoint renewalsEndAt = leaseEndsAt + settings_.renewalGrace;
    for (auto &[id, worker] : workers_) {
        if (auto heartbeat = worker.heartbeatIfDue(now, renewalsEndAt, shard_, epoch_))
            actions_.push_back(CallWorker {std::move(*heartbeat)});
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::expireLeases(TimePoint now)
{
    for (auto &[id, worker] : workers_) {
        const bool wasUnread = worker.isUnread();
        if (!worker.expireLeaseIfDue(now))
            continue;
        if (wasUnread)
            takeover_.markInventoryLost(now + settings_.answerRetention);
        placer_.closeWorker(id);
        for (const TaskId &task : worker.attempts())
            markAttemptLost(now, task);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::markAttemptLost(TimePoint now, const TaskId &task)
{
    handleTaskEvent(now, *findJob(task.job), task.index, Task::Event::LeaseExpired);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::replyToTimedOutWaits(TimePoint now)
{
    for (const JobName &name : jobs_.takeTimedOutWaits(now)) {
        JobRecord *job = findJob(name);
        if (!job)
            continue;
        const JobReport report = job->report();
        std::erase_if(job->waiters, [&](const JobRecord::Waiter &waiter) {
            if (waiter.until > now)
                return false;
            reply(waiter.entry, waiter.request, report);
            return true;
        });
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::removeExpiredJobs(TimePoint now)
{
    for (const JobName &name : jobs_.takeRetentionChecks(now)) {
        JobRecord *job = findJob(name);
        if (!job || (!job->isOpen() && now - job->finishedAt < settings_.answerRetention))
            continue;
        if (job->isIdle())
            removeJob(*job);
        else if (job->isOpen())
            jobs_.scheduleRetentionCheck(now + settings_.answerRetention, name);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::removeJob(const JobRecord &job)
{
    const JobName name = job.spec().name;
    for (std::uint64_t i = 0; i < job.tasks().size(); ++i) {
        const Task &task = job.tasks()[i];
        const auto worker = workers_.find(task.worker());
        if (worker != workers_.end())
            worker->second.addAcknowledged({{name, TaskIndex(i)}, task.attempt()});
    }
    jobs_.remove(name);
}

template<SchedulingPolicy Policy>
Task *ShardScheduler<Policy>::findAttempt(const TaskId &task, AttemptNumber attempt,
                                          const WorkerId &worker)
{
    JobRecord *job = findJob(task.job);
    if (!job || !job->hasTask(task.index))
        return nullptr;
    Task &found = job->task(task.index);
    return found.attempt() == attempt && found.worker() == worker ? &found : nullptr;
}

template<SchedulingPolicy Policy>
bool ShardScheduler<Policy>::hasStartsInFlight() const
{
    return jobs_.hasTaskIn(Task::State::Starting);
}

template<SchedulingPolicy Policy>
std::vector<WorkerRow> ShardScheduler<Policy>::workerRows() const
{
    std::vector<WorkerRow> rows;
    for (const auto &[id, allocation] : placer_.ledger().allocations()) {
        // A removed worker keeps its index in the ledger, without capacity.
        if (allocation.capacity == Resources())
            continue;
        rows.push_back({shard_, id, allocation.capacity, allocation.reserved,
                        allocation.isOpen ? "open" : "closed"});
    }
    return rows;
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

template class ShardScheduler<BaselinePolicy>;
template class ShardScheduler<StandardPolicy>;

} // namespace caraway
