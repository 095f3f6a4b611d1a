#include "Decisions/ShardScheduler.h"

#include "Decisions/Policy/BaselinePolicy.h"
#include "Decisions/Policy/StandardPolicy.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

/// Heartbeats go out this much more often while a worker has something to say.
constexpr std::int64_t busyHeartbeatDivisor = 4;

} // namespace

template<SchedulingPolicy Policy>
ShardScheduler<Policy>::ShardScheduler(ShardId shard, const DecisionSettings &settings)
    : shard_(std::move(shard))
    , settings_(settings)
{
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::beginRecovery(TimePoint now, Epoch epoch)
{
    epoch_ = epoch;
    placer_.reset();
    jobs_.clear();
    for (auto &[id, worker] : workers_)
        worker = WorkerState {.member = worker.member, .leasesRenewedBy = now};
}

template<SchedulingPolicy Policy>
bool ShardScheduler<Policy>::isRecovered() const
{
    return std::ranges::all_of(workers_, [](const auto &entry) { return entry.second.read; });
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::setWorkers(TimePoint now, const std::vector<WorkerMember> &workers)
{
    for (const WorkerMember &member : workers) {
        const auto [place, isNew] = workers_.try_emplace(member.id);
        place->second.member = member;
        if (isNew)
            place->second.leasesRenewedBy = now;
        placer_.setWorker(member, place->second.read && member.state == MemberState::Live);
    }
    for (auto &[id, worker] : workers_) {
        if (std::ranges::find(workers, id, &WorkerMember::id) == workers.end())
            placer_.closeWorker(id);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onRequest(TimePoint now, const InstanceId &entry,
                                       const HolderRequest &request)
{
    if (const auto *submission = std::get_if<HolderSubmit>(&request.body))
        submit(now, entry, request.id, *submission);
    else if (const auto *question = std::get_if<HolderQuery>(&request.body))
        query(now, entry, request.id, *question);
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
                = fmt::format("Another job is named {}. Submit this one under a new name.",
                              body.spec.name.value());
        reply(entry, request,
              {.name = body.spec.name,
               .state = JobState::NotRun,
               .error = Error {ErrorKind::NameInUse, message}});
        return;
    }
    if (!job) {
        if (std::optional<Refusal> refusal = placer_.refusalOf(now, body.spec)) {
            reply(entry, request,
                  {.name = body.spec.name,
                   .state = JobState::NotRun,
                   .error = std::move(refusal->error),
                   .retryAfter = refusal->retryAfter});
            return;
        }
        job = &jobs_.try_emplace(body.spec.name, body.spec).first->second;
        for (std::uint64_t i = 0; i < body.spec.taskCount; ++i) {
            job->task(TaskIndex(i)).waitingSince = now;
            placer_.enqueue(now, body.spec, TaskIndex(i));
        }
    }
    answerOrWait(now, *job, {entry, request, now + body.wait});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::query(TimePoint now, const InstanceId &entry, RequestId request,
                                   const HolderQuery &body)
{
    JobRecord *job = findJob(body.name);
    if (job) {
        answerOrWait(now, *job, {entry, request, now + body.wait});
        return;
    }
    const std::string message = fmt::format("No job named {} is known here. Check the name, or "
                                            "submit the job again under the same name.",
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
    if (JobRecord *job = findJob(body.name)) {
        for (std::uint64_t i = 0; i < job->spec().taskCount; ++i) {
            if (job->task(TaskIndex(i)).isIn(Task::State::Waiting))
                placer_.withdraw({body.name, TaskIndex(i)});
            raise(now, *job, TaskIndex(i), Task::Event::Cancelled);
        }
    }
    query(now, entry, request, {body.name, Milliseconds()});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::answerOrWait(TimePoint now, JobRecord &job, JobRecord::Waiter waiter)
{
    if (!job.isOpen() || waiter.until <= now)
        reply(waiter.entry, waiter.request, job.report());
    else
        job.waiters.push_back(std::move(waiter));
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::reply(const InstanceId &entry, RequestId request, JobReport report)
{
    actions_.push_back(SendToPeer {entry, HolderReply {request, false, std::move(report)}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onStartAnswered(TimePoint now, const StartAnswered &answer)
{
    if (!findAttempt(answer.task, answer.attempt, answer.worker))
        return;
    constexpr Task::Event events[] = {Task::Event::Started, Task::Event::Refused,
                                      Task::Event::Refused, Task::Event::Unanswered};
    raise(now, *findJob(answer.task.job), answer.task.index,
          events[static_cast<std::size_t>(answer.outcome)]);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onHeartbeatAnswered(TimePoint now, const HeartbeatAnswered &answer)
{
    const auto found = workers_.find(answer.worker);
    if (found == workers_.end())
        return;
    WorkerState &worker = found->second;
    worker.heartbeatOutstanding = false;
    worker.lastAnswered = answer.answered;
    if (!answer.answered)
        return;
    worker.read = true;
    worker.leasesRenewedBy = now;
    placer_.setWorker(worker.member, worker.member.state == MemberState::Live);
    for (const InventoryEntry &entry : answer.tasks)
        handleEntry(now, answer.worker, entry);
    for (const auto &[task, attempt] : answer.voided) {
        std::erase(worker.voided, std::pair(task, attempt));
        if (findAttempt(task, attempt, answer.worker))
            raise(now, *findJob(task.job), task.index, Task::Event::Refused);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onTaskReported(TimePoint now, const TaskReported &report)
{
    const auto found = workers_.find(report.worker);
    if (found != workers_.end() && found->second.read)
        handleEntry(now, report.worker, report.entry);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::handleEntry(TimePoint now, const WorkerId &worker,
                                         const InventoryEntry &entry)
{
    JobRecord &job = findOrAdopt(entry);
    if (!job.hasTask(entry.task.index))
        return;
    Task &task = job.task(entry.task.index);
    const bool isForeign = task.attempt() != entry.attempt || task.worker() != worker;
    if (isForeign && task.isIn(Task::State::Waiting)) {
        placer_.withdraw(entry.task);
        task.adopt(worker, entry.attempt);
        placer_.onFound(worker, job.spec(), entry.task.index);
        raise(now, job, entry.task.index, Task::Event::Found);
    } else if (isForeign) {
        return;
    }
    if (entry.condition == TaskCondition::Running) {
        raise(now, job, entry.task.index, Task::Event::Found);
        return;
    }
    if (task.isIn(Task::State::OnWorker)) {
        const bool succeeded = entry.condition == TaskCondition::Succeeded;
        task.answer = {entry.task.index, entry.attempt, worker, succeeded, entry.content};
        raise(now, job, entry.task.index, succeeded ? Task::Event::Succeeded : Task::Event::Failed);
    }
    workers_[worker].taken.emplace_back(entry.task, entry.attempt);
}

template<SchedulingPolicy Policy>
JobRecord &ShardScheduler<Policy>::findOrAdopt(const InventoryEntry &entry)
{
    return jobs_.try_emplace(entry.task.job, entry.spec).first->second;
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::raise(TimePoint now, JobRecord &job, TaskIndex index,
                                   Task::Event event)
{
    Task &task = job.task(index);
    const bool wasRunning = task.isIn(Task::State::Running);
    const TaskId id {job.spec().name, index};
    const Task::Effects effects = task.handle(event);
    if (effects.releaseReservation)
        placer_.onReleased(task.worker(), job.spec(), index);
    if (effects.requeue) {
        task.waitingSince = now;
        placer_.enqueue(now, job.spec(), index);
    }
    if (effects.stopAttempt)
        workers_[task.worker()].stopped.emplace_back(id, task.attempt());
    if (effects.voidAttempt)
        workers_[task.worker()].voided.emplace_back(id, task.attempt());
    if (!wasRunning && task.isIn(Task::State::Running))
        job.waited = std::max(job.waited, now - task.waitingSince);
    finishIfEnded(now, job);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::finishIfEnded(TimePoint now, JobRecord &job)
{
    if (!job.isOpen() || !job.updateFromTasks())
        return;
    job.endedAt = now;
    const JobReport report = job.report();
    for (const JobRecord::Waiter &waiter : job.waiters)
        reply(waiter.entry, waiter.request, report);
    job.waiters.clear();
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::onTick(TimePoint now, TimePoint startsEndAt)
{
    lapseLeases(now);
    placeWaiting(now, startsEndAt);
    sendHeartbeats(now);
    endWaits(now);
    forgetOldAnswers(now);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::placeWaiting(TimePoint now, TimePoint startsEndAt)
{
    if (now >= startsEndAt || !isRecovered())
        return;
    for (const PlacedTask &placed : placer_.place(now))
        start(now, placed, startsEndAt);
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::start(TimePoint now, const PlacedTask &placed, TimePoint startsEndAt)
{
    const TaskId &id = placed.waiting.task;
    JobRecord &job = *findJob(id.job);
    Task &task = job.task(id.index);
    task.placeOn(placed.worker);
    raise(now, job, id.index, Task::Event::Placed);
    actions_.push_back(CallWorker {
            StartTask {shard_, placed.worker, workers_.at(placed.worker).member.endpoint, id,
                       task.attempt(), epoch_, job.spec(), settings_.taskLease, startsEndAt}});
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::sendHeartbeats(TimePoint now)
{
    for (auto &[id, worker] : workers_) {
        const bool isBusy = !worker.voided.empty() || !worker.stopped.empty() || !worker.read;
        const Milliseconds interval = isBusy ? settings_.workerHeartbeat / busyHeartbeatDivisor
                                             : settings_.workerHeartbeat;
        const bool isDue = now - worker.heartbeatSentAt >= interval;
        if (worker.heartbeatOutstanding || !isDue)
            continue;
        worker.heartbeatOutstanding = true;
        worker.heartbeatSentAt = now;
        actions_.push_back(CallWorker {
                HeartbeatWorker {shard_, id, worker.member.endpoint, epoch_,
                                 worker.lastAnswered ? settings_.taskLease : Milliseconds(),
                                 std::exchange(worker.taken, {}), std::exchange(worker.stopped, {}),
                                 worker.voided}});
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::lapseLeases(TimePoint now)
{
    for (auto &[id, worker] : workers_) {
        // One unanswered heartbeat may arrive just before the leases end and renew them once more.
        const Milliseconds longest = settings_.taskLease * 2 + settings_.leaseMargin;
        if (now - worker.leasesRenewedBy < longest)
            continue;
        worker.read = true;
        placer_.closeWorker(id);
        for (const TaskId &task : tasksOn(id))
            raise(now, *findJob(task.job), task.index, Task::Event::LeaseLapsed);
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::endWaits(TimePoint now)
{
    for (auto &[name, job] : jobs_) {
        if (job.waiters.empty())
            continue;
        const JobReport report = job.report();
        std::erase_if(job.waiters, [&](const JobRecord::Waiter &waiter) {
            if (waiter.until > now)
                return false;
            reply(waiter.entry, waiter.request, report);
            return true;
        });
    }
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::forgetOldAnswers(TimePoint now)
{
    std::erase_if(jobs_, [&](const auto &entry) {
        const JobRecord &job = entry.second;
        return !job.isOpen() && now - job.endedAt >= settings_.answerRetention;
    });
}

template<SchedulingPolicy Policy>
JobRecord *ShardScheduler<Policy>::findJob(const JobName &name)
{
    const auto found = jobs_.find(name);
    return found == jobs_.end() ? nullptr : &found->second;
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
std::vector<TaskId> ShardScheduler<Policy>::tasksOn(const WorkerId &worker)
{
    std::vector<TaskId> tasks;
    for (auto &[name, job] : jobs_) {
        for (std::uint64_t i = 0; i < job.tasks().size(); ++i) {
            const Task &task = job.task(TaskIndex(i));
            if (task.isIn(Task::State::OnWorker) && task.worker() == worker)
                tasks.push_back({name, TaskIndex(i)});
        }
    }
    return tasks;
}

template<SchedulingPolicy Policy>
std::vector<WorkerRow> ShardScheduler<Policy>::workerRows() const
{
    std::vector<WorkerRow> rows;
    for (const auto &[id, account] : placer_.ledger().accounts()) {
        rows.push_back({shard_, id, account.capacity, account.reserved,
                        account.isOpen ? "open" : "closed"});
    }
    return rows;
}

template<SchedulingPolicy Policy>
void ShardScheduler<Policy>::drainActions(Actions &actions)
{
    std::ranges::move(actions_, std::back_inserter(actions));
    actions_.clear();
}

template class ShardScheduler<BaselinePolicy>;
template class ShardScheduler<StandardPolicy>;

} // namespace caraway
