#include "Cell/CellScheduler.h"

namespace caraway::cell {

namespace {

/// Interval of periodic checks, such as for gangs that lost a member.
constexpr Milliseconds maintenanceInterval {100};
constexpr Milliseconds loadLogInterval {1000};
constexpr Milliseconds waitingLogInterval {4000};

} // namespace

CellScheduler::CellScheduler(CellContext &context, const ConfigurationCache &configuration,
                             Handlers handlers)
    : context_(context)
    , configuration_(configuration)
    , handlers_(std::move(handlers))
    , startLog_(context)
    , pacing_(context.settings().processors)
    , fleet_(context, fleetHandlers())
    , recorder_(context, recorderHandlers())
    , approvalDispatcher_(context)
{
}

WorkerFleet::Handlers CellScheduler::fleetHandlers()
{
    WorkerFleet::Handlers handlers;
    handlers.started = [this](const CellWorker &worker, const TaskKey &key, RunNumber run) {
        onStarted(worker, key, run);
    };
    handlers.discovered = [this](const CellWorker &worker, const RunningTask &running) {
        return onDiscovered(worker, running);
    };
    handlers.progressed = [this](const CellWorker &worker, const RunningTask &running) {
        onListed(worker, running);
    };
    handlers.completed = [this](const CellWorker &worker, const CompletedRun &completion) {
        return onRunCompleted(worker, completion);
    };
    handlers.notOnWorker = [this](const CellWorker &worker, const TaskKey &key, RunNumber run,
                                  WorkerOutcome outcome, AbsenceEvidence evidence) {
        onRunNotOnWorker(worker, key, run, outcome, evidence);
    };
    handlers.crashed = [this](const CellWorker &worker,
                              std::optional<WorkerIncarnation> incarnation, CrashEvidence evidence,
                              const std::vector<Placement> &lost) {
        onWorkerCrashed(worker, incarnation.value_or(WorkerIncarnation()), evidence, lost);
    };
    handlers.expired = [this](const CellWorker &worker, const std::vector<Placement> &expired) {
        // Otherwise the next holder would count a later crash of the worker under them.
        for (const Placement &placement : expired)
            logEnd(worker.id(), worker.incarnation, placement.task, placement.run);
    };
    handlers.startAnswered = [this](Milliseconds delay) { startLimit_.recordStartDelay(delay); };
    handlers.startUnanswered
            = [this](const TaskKey &key, RunNumber run) { onStartUnanswered(key, run); };
    handlers.fenced = [this] { handlers_.superseded(); };
    handlers.mayStop = [this] { return handlers_.maySchedule(); };
    return handlers;
}

ProgressRecorder::Handlers CellScheduler::recorderHandlers()
{
    ProgressRecorder::Handlers handlers;
    handlers.snapshot = [this](const JobId &id) { return snapshot(id); };
    handlers.startLogWrite = [this]() -> std::optional<StoreWrite> {
        if (!startLog_.hasNews())
            return std::nullopt;
        return startLog_.takeSegment(
                [this](const LoggedStart &start) { return isStartNeeded(start); });
    };
    handlers.isStartLogDue = [this] { return startLog_.isDue(); };
    handlers.completionRecorded = [this](const ProgressRecorder::RecordedCompletion &completion) {
        fleet_.onCompletionRecorded(completion.worker, completion.incarnation, completion.number);
    };
    handlers.crashRecorded = [this](const TaskKey &key) { onCrashRecorded(key); };
    handlers.startRecorded
            = [this](const TaskKey &key, RunNumber run) { onStartRecorded(key, run); };
    handlers.resultRecorded
            = [this](const JobId &id, JobState state) { onResultRecorded(id, state); };
    handlers.rosterRecorded = [this](const Roster &roster) {
        rosterWritePending_ = false;
        roster_ = roster;
        fleet_.setRoster(roster_);
        passNeeded_ = true;
    };
    handlers.superseded = [this] { handlers_.superseded(); };
    return handlers;
}

void CellScheduler::startTerm(Term term)
{
    endTerm();
    ++term_;
    active_ = true;
    generation_ = term.generation;
    termStartedAt_ = context_.now();
    pacing_ = Pacing(context_.settings().processors);
    startLimit_ = Limit();
    wait_ = Wait();
    longestEventDelay_ = {};
    fleet_.startTerm(term.token, term.roster, term.earlierRenewalsEnd);
    roster_ = std::move(term.roster);
    startLog_.startTerm(term.startLog);
    for (LoggedStart &start : StartLog::openStarts(term.startLog)) {
        const std::pair<TaskKey, RunNumber> key {start.task, start.run};
        takenOverStarts_[start.worker].push_back(start);
        openStarts_.emplace(key, std::move(start));
    }
    recorder_.startTerm(std::move(term.holder), term.sequences);
}

void CellScheduler::endTerm()
{
    active_ = false;
    rosterWritePending_ = false;
    jobs_.clear();
    finishedJobs_.clear();
    cancellations_.clear();
    unknownJobs_.clear();
    unconfirmedLosses_.clear();
    jobsWithCrashes_.clear();
    openStarts_.clear();
    takenOverStarts_.clear();
    loggedCrashes_.clear();
    startLog_.endTerm();
    unsentStarts_.clear();
    fleet_.endTerm();
    recorder_.endTerm();
    approvalDispatcher_.clear();
    requestedCapacity_.clear();
    requestedOnWorkers_.clear();
}

void CellScheduler::setConfirmedAt(TimePoint time)
{
    passNeeded_ = passNeeded_ || (time > confirmedAt_ && awaitsConfirmation());
    confirmedAt_ = time;
    fleet_.setConfirmedAt(time);
    fleet_.setLatestLeaseEnd(time + renewalLimit + context_.settings().workerLease);
    releaseConfirmedLosses();
}

CellJob *CellScheduler::findJob(const JobId &id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

CellStep *CellScheduler::findStep(const TaskKey &key, CellJob *&job)
{
    job = findJob(key.job);
    CellStep *step = job ? job->step(key.occurrence, key.step) : nullptr;
    return step && key.index.value() < step->tasks.size() ? step : nullptr;
}

CellTask *CellScheduler::findRun(const TaskKey &key, RunNumber run, const WorkerId &worker)
{
    CellJob *job = nullptr;
    CellStep *step = findStep(key, job);
    if (!step)
        return nullptr;
    CellTask &task = step->tasks[key.index.value()];
    const bool isCurrent
            = task.isIn(CellTask::State::OnWorker) && task.run() == run && task.worker() == worker;
    return isCurrent ? &task : nullptr;
}

const Queue &CellScheduler::queueOf(const CellJob &job) const
{
    const Queue &accepted = job.accepted().queue;
    const Queue *current = configuration_.queue(accepted.id);
    return current ? *current : accepted;
}

void CellScheduler::addNewJob(const AcceptedJob &job)
{
    // Finished jobs of this generation are recorded in finishedJobs_; jobs of other generations are
    // added only from their records in the store.
    const Milliseconds age((context_.wallTime() - job.acceptedAt).count());
    // The result may have expired since; a job that is still stored is read by the watch. The wall
    // clock may have jumped.
    const bool mayHaveExpired = age >= context_.settings().resultLifetime / 2;
    if (job.generation == generation_ && !mayHaveExpired)
        addJob(job, {});
}

void CellScheduler::addJob(const AcceptedJob &job, const JobProgress &progress)
{
    const JobId &id = job.spec.id;
    if (!active_ || jobs_.contains(id) || finishedJobs_.contains(id))
        return;
    auto added = std::make_unique<CellJob>(job, progress, context_.now());
    CellJob &addedJob = *added;
    jobs_.emplace(id, std::move(added));
    configureAccounts();
    addedJob.account = accounts_.numberOf(job.account);
    // A holder that takes over does not know the times at which older jobs were submitted.
    addedJob.isSurplus = accounts_.isActive() && job.generation == generation_
            && submissionRate_.recordJob(addedJob.account, accounts_.weight(addedJob.account),
                                         context_.now());
    if (addedJob.hasCrashes())
        jobsWithCrashes_.insert(id);
    addRecordedStarts(addedJob);
    addedJob.updateReadiness(context_.now(), context_.wallTime());
    context_.log("event=job_added job={} queue={} steps={} accepted_generation={} account={} "
                 "surplus={}",
                 id.value(), job.queue.id.value(), job.spec.steps.size(), job.generation,
                 job.account.value(), addedJob.isSurplus);
    passNeeded_ = true;
    recordArrivals(addedJob);
    if (addedJob.isDone())
        finish(addedJob, JobState::Completed);
    else if (cancellations_.contains(id))
        finish(addedJob, JobState::Cancelled);
    applyListed(id);
}

void CellScheduler::addStoredResult(const JobId &id)
{
    // Its age is unknown, as the times of day of two instances may differ by any amount.
    if (active_)
        finishedJobs_.try_emplace(id, context_.now() + context_.settings().resultLifetime);
}

void CellScheduler::cancelJob(const JobId &id)
{
    if (!active_ || finishedJobs_.contains(id))
        return;
    cancellations_.insert(id);
    CellJob *job = findJob(id);
    if (job && !isFinal(job->state()))
        finish(*job, JobState::Cancelled);
}

void CellScheduler::finish(CellJob &job, JobState state)
{
    context_.log("event=job_finished job={} state={} after_ms={}", job.id().value(),
                 static_cast<int>(state), (context_.now() - job.arrivedAt()).count());
    job.finish(state);
    for (CellStep &step : job.steps()) {
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const CellTask &task = step.tasks[i];
            if (task.isIn(CellTask::State::Stopping))
                fleet_.stop(task.worker(), step.taskKey(i), task.run());
        }
    }
    recorder_.markFinished(job.id());
    passNeeded_ = true;
}

std::optional<ProgressRecorder::Snapshot> CellScheduler::snapshot(const JobId &id)
{
    CellJob *job = findJob(id);
    if (!job)
        return std::nullopt;
    if (isFinal(job->state())) {
        return ProgressRecorder::Snapshot {JobResult {job->state(), context_.wallTime()},
                                           cancellations_.contains(id), job->hasProgressRecord};
    }
    job->hasProgressRecord = true;
    return ProgressRecorder::Snapshot {job->progress(), false};
}

void CellScheduler::onResultRecorded(const JobId &id, JobState state)
{
    jobs_.erase(id);
    jobsWithCrashes_.erase(id);
    cancellations_.erase(id);
    finishedJobs_[id] = context_.now() + context_.settings().resultLifetime;
    handlers_.stateChanged(id, state);
}

std::optional<JobState> CellScheduler::stateOf(const JobId &id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return std::nullopt;
    // The job has not ended until its result is stored.
    return found->second->hasStarted() ? JobState::Running : JobState::Pending;
}

void CellScheduler::markStarted(CellJob &job)
{
    if (job.markStarted())
        handlers_.stateChanged(job.id(), job.state());
}

void CellScheduler::onStarted(const CellWorker &worker, const TaskKey &key, RunNumber run)
{
    CellTask *task = findRun(key, run, worker.id());
    if (!task)
        return;
    task->handle(CellTask::Event::Started);
    markStarted(*findJob(key.job));
}

WorkerFleet::RunDecision CellScheduler::onDiscovered(const CellWorker &worker,
                                                     const RunningTask &running)
{
    CellJob *job = nullptr;
    CellStep *step = findStep(running.task, job);
    if (!step)
        return decideUnknown(worker, running);
    const AccountCharge charge = chargeOf(*job, *step);
    const WorkerFleet::RunDecision stopped {WorkerFleet::RunDecision::Kind::Stop, {}, charge};
    if (isFinal(job->state()))
        return stopped;
    const WorkerFleet::RunDecision kept {WorkerFleet::RunDecision::Kind::Keep,
                                         step->spec.allocation(), charge, step->spec.longRunning};
    CellTask &task = step->tasks[running.task.index.value()];
    if (findRun(running.task, running.run, worker.id()))
        return kept;
    if (!task.isIn(CellTask::State::Waiting) && !task.isIn(CellTask::State::Lost))
        return stopped;
    task.assign(worker.id(), running.run, context_.now());
    task.handle(CellTask::Event::Listed);
    markStarted(*job);
    return kept;
}

void CellScheduler::onListed(const CellWorker &worker, const RunningTask &running)
{
    CellTask *task = findRun(running.task, running.run, worker.id());
    if (!task)
        return;
    if (!task->isIn(CellTask::State::Stopping))
        task->handle(CellTask::Event::Listed);
    task->progress = running.progress;
    task->progressAt = context_.now();
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
}

void CellScheduler::onStartUnanswered(const TaskKey &key, RunNumber run)
{
    CellJob *job = nullptr;
    CellStep *step = findStep(key, job);
    if (!step)
        return;
    CellTask &task = step->tasks[key.index.value()];
    if (task.isIn(CellTask::State::OnWorker) && task.run() == run) {
        task.handle(CellTask::Event::Unanswered);
        task.handle(CellTask::Event::StopRequested);
    }
    context_.log("event=start_unanswered job={} step={} task={} run={}", key.job.value(),
                 key.step.value(), key.index.value(), run.value());
}

bool CellScheduler::onRunCompleted(const CellWorker &worker, const CompletedRun &completion)
{
    const ProgressRecorder::RecordedCompletion source {
            worker.id(), worker.incarnation.value_or(WorkerIncarnation()), completion.number,
            context_.now()};
    CellJob *job = nullptr;
    CellStep *step = findStep(completion.task, job);
    if (!step)
        return keepUnknown(source, completion);
    recordCompletion(source, completion, *job, *step);
    return true;
}

void CellScheduler::recordCompletion(const ProgressRecorder::RecordedCompletion &source,
                                     const CompletedRun &completion, CellJob &job, CellStep &step)
{
    passNeeded_ = true;
    // The next holder reads this completion from the worker until the store has it.
    recorder_.markChanged(job.id(), source);
    if (!isFinal(job.state()))
        applyCompletion(source, completion, job, step);
}

void CellScheduler::applyCompletion(const ProgressRecorder::RecordedCompletion &source,
                                    const CompletedRun &completion, CellJob &job, CellStep &step)
{
    CellTask &task = step.tasks[completion.task.index.value()];
    const bool isCurrent = findRun(completion.task, completion.run, source.worker) != nullptr;
    updateCheckpoint(step, task, completion);
    if (completion.reason != CompletionReason::Succeeded && !task.isFinished())
        logEnd(source.worker, source.incarnation, completion.task, completion.run);
    if (completion.reason == CompletionReason::Failed && !task.isFinished())
        recordFailure(job, step, task, completion);
    const bool succeeds = completion.reason == CompletionReason::Succeeded && !step.spec.longRunning
            && !task.isFinished();
    if (succeeds) {
        if (isCurrent)
            updateMeanDuration(job, task);
        stopOtherRuns(step, task, completion.run);
        onTaskSucceeded(job, step, task, completion.run);
    } else if (isCurrent) {
        task.handle(CellTask::Event::Ended);
    }
    if (task.recordedStart && task.recordedStart->run == completion.run)
        task.recordedStart.reset();
    if (completion.reason != CompletionReason::Succeeded || !isCurrent) {
        context_.log("event=run_completed job={} step={} task={} run={} worker={} incarnation={} "
                     "number={} reason={} current={}",
                     completion.task.job.value(), completion.task.step.value(),
                     completion.task.index.value(), completion.run.value(), source.worker.value(),
                     source.incarnation.value(), completion.number.value(),
                     static_cast<int>(completion.reason), isCurrent);
    }
}

void CellScheduler::updateCheckpoint(CellStep &step, CellTask &task, const CompletedRun &completion)
{
    if (completion.checkpoint.empty() || task.isFinished())
        return;
    task.checkpoint = completion.checkpoint;
    // Members that end because another was stopped list the checkpoint of the last interval.
    const bool isOlder = completion.reason != CompletionReason::Stopped
            && step.gangCheckpointOfStop == completion.run;
    if (!step.spec.gang || isOlder)
        return;
    step.gangCheckpoint = completion.checkpoint;
    if (completion.reason == CompletionReason::Stopped)
        step.gangCheckpointOfStop = completion.run;
}

void CellScheduler::recordFailure(CellJob &job, CellStep &step, CellTask &task,
                                  const CompletedRun &completion)
{
    if (step.spec.longRunning)
        return;
    std::set<RunNumber> &failed = step.spec.gang ? step.failedGangRuns : task.failedRuns;
    failed.insert(completion.run);
    if (static_cast<std::int64_t>(failed.size()) >= queueOf(job).maxAttempts)
        finish(job, JobState::Failed);
}

void CellScheduler::onTaskSucceeded(CellJob &job, CellStep &step, CellTask &task, RunNumber run)
{
    markStarted(job);
    for (CellTask &member : step.tasks) {
        const bool succeeds = &member == &task || (step.spec.gang && !member.isFinished());
        if (succeeds && member.handle(CellTask::Event::Succeeded))
            ++step.doneTasks;
    }
    if (!step.isDone())
        return;
    context_.log("event=step_done job={} step={} run={} after_ms={}", job.id().value(),
                 step.key.step.value(), run.value(), (context_.now() - job.arrivedAt()).count());
    job.updateReadiness(context_.now(), context_.wallTime());
    if (job.isDone())
        finish(job, JobState::Completed);
}

void CellScheduler::onRunNotOnWorker(const CellWorker &worker, const TaskKey &key, RunNumber run,
                                     WorkerOutcome outcome, AbsenceEvidence evidence)
{
    passNeeded_ = true;
    CellTask *task = findRun(key, run, worker.id());
    if (!task)
        return;
    CellJob *job = nullptr;
    CellStep *step = findStep(key, job);
    context_.log("event=run_not_on_worker job={} step={} task={} run={} worker={} outcome={} "
                 "highest_completion={} placed_ms_ago={} evidence={} replied_ms_ago={} "
                 "confirmed_ms={}",
                 key.job.value(), key.step.value(), key.index.value(), run.value(),
                 worker.id().value(), nameOf(outcome), worker.completions.highest().value(),
                 (context_.now() - task->placedAt()).count(), nameOf(evidence),
                 (context_.now() - worker.lastReplyAt).count(),
                 (context_.now() - confirmedAt_).count());
    if (outcome == WorkerOutcome::TicketInvalid)
        step->approvals.clearDecision(worker.number());
    // A worker that was reset may have crashed under the run.
    if (outcome != WorkerOutcome::Unanswered || worker.isStateRead)
        logEnd(worker.id(), worker.incarnation, key, run);
    // Otherwise the next holder would count a later crash of the worker under it.
    if (std::exchange(task->recordedStart, std::nullopt))
        recorder_.markChanged(key.job);
    if (evidence == AbsenceEvidence::Answered || evidence == AbsenceEvidence::Unlisted) {
        task->handle(CellTask::Event::Ended);
    } else {
        task->handle(CellTask::Event::Lost);
        unconfirmedLosses_.insert_or_assign(key, context_.now());
    }
    if (step->spec.gang)
        stopGang(*step, run);
}

void CellScheduler::releaseConfirmedLosses()
{
    std::erase_if(unconfirmedLosses_, [this](const auto &loss) {
        const auto &[key, lostAt] = loss;
        // A list that was requested in the same millisecond may be older than the loss.
        if (lostAt >= confirmedAt_)
            return false;
        CellJob *job = nullptr;
        if (CellStep *step = findStep(key, job))
            step->tasks[key.index.value()].handle(CellTask::Event::Confirmed);
        return true;
    });
}

void CellScheduler::stopOtherRuns(CellStep &step, const CellTask &task, RunNumber succeeded)
{
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const CellTask &member = step.tasks[i];
        const bool needsNoRun = &member == &task || step.spec.gang;
        if (needsNoRun && member.isIn(CellTask::State::OnWorker) && member.run() != succeeded)
            fleet_.stop(member.worker(), step.taskKey(i), member.run());
    }
}

void CellScheduler::stopGang(CellStep &step, RunNumber run)
{
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        CellTask &member = step.tasks[i];
        if (!member.isIn(CellTask::State::OnWorker) || member.run() != run)
            continue;
        member.handle(CellTask::Event::StopRequested);
        fleet_.stop(member.worker(), step.taskKey(i), run);
    }
}

/// Stops gangs of which some members run and others wait, as they make no progress.
void CellScheduler::repairGangs()
{
    for (auto &[id, job] : jobs_) {
        for (CellStep &step : job->steps()) {
            if (!step.spec.gang || step.counts.waiting == 0)
                continue;
            for (const CellTask &member : step.tasks) {
                const bool isOld = context_.now() - member.placedAt() > maintenanceInterval * 3;
                if (member.isIn(CellTask::State::OnWorker) && isOld) {
                    stopGang(step, member.run());
                    break;
                }
            }
        }
    }
}

void CellScheduler::updateRoster()
{
    if (rosterWritePending_)
        return;
    Roster roster = fleet_.currentRoster();
    if (roster == roster_) {
        // A worker that was removed and added again is in the stored roster already.
        fleet_.setRoster(roster_);
        return;
    }
    rosterWritePending_ = true;
    fleet_.restrictRoster(roster);
    recorder_.markRoster(std::move(roster));
}

void CellScheduler::expireResults()
{
    std::erase_if(finishedJobs_, [&](const auto &entry) {
        const bool isExpired = entry.second < context_.now();
        if (isExpired)
            recorder_.markExpired(entry.first);
        return isExpired;
    });
}

void CellScheduler::tick(TimePoint createdAt, bool maySchedule)
{
    if (!active_)
        return;
    fleet_.tick(maySchedule);
    approvalDispatcher_.tick(createdAt);
    if (context_.now() >= nextMaintenance_) {
        nextMaintenance_ = context_.now() + maintenanceInterval;
        updateRoster();
        expireResults();
        for (auto &[id, job] : jobs_) {
            job->updateReadiness(context_.now(), context_.wallTime());
            recordArrivals(*job);
        }
        if (context_.now() >= nextLoadLog_) {
            nextLoadLog_ = context_.now() + loadLogInterval;
            logLoad();
        }
        if (context_.now() >= nextWaitingLog_) {
            nextWaitingLog_ = context_.now() + waitingLogInterval;
            logWaitingSteps();
        }
        if (fleet_.isRecovered())
            repairGangs();
        if (maySchedule)
            evacuateLeavingWorkers();
        passNeeded_ = true;
    }
    recorder_.tick();
}

std::optional<PassReport> CellScheduler::onEventsHandled(bool maySchedule)
{
    if (!active_)
        return std::nullopt;
    std::optional<PassReport> report;
    if (passNeeded_ && maySchedule && configuration_.current()
        && context_.now() >= pacing_.nextPass()
        && startLimit_.mayBeginPass(fleet_.unansweredStarts())) {
        passNeeded_ = false;
        runSchedulingPass();
        report = pass_.report;
        passTotals_.add(*report);
    }
    sendRecordedStarts(maySchedule);
    fleet_.sendDueHeartbeats(maySchedule);
    recorder_.tick();
    return report;
}

void CellScheduler::recordPassTime(TimePoint endedAt, const PassDuration &duration)
{
    passTotals_.addTime(duration.processorTime);
    pacing_.recordTime(endedAt, duration);
}

std::vector<QueueLoad> CellScheduler::queueLoads() const
{
    std::map<QueueId, QueueLoad> loads;
    if (const CellConfiguration *configuration = configuration_.current()) {
        for (const Queue &queue : configuration->queues)
            loads[queue.id].queue = queue.id;
    }
    for (const auto &[id, job] : jobs_) {
        const QueueId &queue = job->accepted().queue.id;
        QueueLoad &load = loads[queue];
        load.queue = queue;
        load.queuedJobs += !job->hasStarted() && !isFinal(job->state()) ? 1 : 0;
    }
    std::vector<QueueLoad> rows;
    rows.reserve(loads.size());
    for (auto &[id, load] : loads) {
        if (const Queue *queue = configuration_.queue(id))
            load.expectedWait = wait_.expectedWait(queue->priority, context_.now());
        rows.push_back(load);
    }
    return rows;
}

} // namespace caraway::cell
