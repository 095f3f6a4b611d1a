#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// A long-running task lives long enough to meet crashes of its workers' own; only those soon after
/// the start of its run count.
constexpr WorkerTime longRunningWindow {30'000};
/// How long a new holder waits for workers that are not listed to return and show whether they have
/// crashed.
constexpr Milliseconds openStartLimit {30'000};
/// Bounds how long a worker is kept for a task with several crashes.
constexpr Milliseconds probation {3000};
/// Each weight exceeds the sum of the following ones and of all other scores of a worker.
constexpr double isolatedTaskWeight = 10'000;
constexpr double suspectTaskWeight = 1000;
constexpr double otherRunWeight = 2;
constexpr std::int64_t maxOtherRuns = 400;

} // namespace

void CellScheduler::onWorkerCrashed(const CellWorker &worker, WorkerIncarnation incarnation,
                                    CrashEvidence evidence, const std::vector<Placement> &lost)
{
    std::vector<LostRun> runs;
    for (const Placement &placement : lost) {
        CellJob *job = nullptr;
        const CellStep *step = findStep(placement.task, job);
        if (step && countsAsCrash(*step, placement))
            runs.push_back({placement.task, placement.run, placement.listedFor()});
    }
    const WorkerCrash crash {worker.id(), incarnation};
    countCrashes(crash, evidence, runs, findCommonCause(crash, runs));
}

void CellScheduler::countCrashes(const WorkerCrash &crash, CrashEvidence evidence,
                                 const std::vector<LostRun> &lost, const JobsOfSharedCrash &shared)
{
    for (const LostRun &run : lost) {
        const auto found = shared.find(run.task.job);
        if (countCrash(crash, evidence, run,
                       found == shared.end() ? std::nullopt : std::optional(found->second)))
            giveUpIfDue(run.task);
    }
}

bool CellScheduler::countCrash(const WorkerCrash &crash, CrashEvidence evidence,
                               const LostRun &lost,
                               const std::optional<CommonCause::Others> &sharedWith)
{
    const TaskKey &key = lost.task;
    CellJob *job = nullptr;
    CellStep *step = findStep(key, job);
    if (!step || isFinal(job->state()))
        return false;
    CellTask &task = step->tasks[key.index.value()];
    if (task.isFinished() || !task.addCrash(crash, sharedWith.has_value()))
        return false;
    jobsWithCrashes_.insert(key.job);
    recorder_.markCrash(key);
    if (sharedWith) {
        context_.log("event=worker_crash_shared job={} step={} task={} run={} worker={} "
                     "incarnation={} crashes={} own={} down={} explained={} stayed_up={} "
                     "unknown={} evidence={}",
                     key.job.value(), key.step.value(), key.index.value(), lost.run.value(),
                     crash.worker.value(), crash.incarnation.value(), task.crashes().count(),
                     task.crashes().ownCount(), sharedWith->down, sharedWith->explained,
                     sharedWith->stayedUp, sharedWith->unknown, nameOf(evidence));
        return true;
    }
    context_.log("event=worker_crashed_under_run job={} step={} task={} run={} worker={} "
                 "incarnation={} crashes={} listed_for_ms={} evidence={}",
                 key.job.value(), key.step.value(), key.index.value(), lost.run.value(),
                 crash.worker.value(), crash.incarnation.value(), task.crashes().count(),
                 lost.listedFor ? lost.listedFor->count() : -1, nameOf(evidence));
    return true;
}

void CellScheduler::giveUpIfDue(const TaskKey &key)
{
    CellJob *job = nullptr;
    const CellStep *step = findStep(key, job);
    if (!step || isFinal(job->state()))
        return;
    const CrashHistory &crashes = step->tasks[key.index.value()].crashes();
    if (!crashes.shouldGiveUp())
        return;
    context_.log("event=job_given_up job={} step={} task={} crashes={} workers={}", key.job.value(),
                 key.step.value(), key.index.value(), crashes.count(), crashes.describe());
    finish(*job, JobState::Failed);
}

bool CellScheduler::countsAsCrash(const CellStep &step, const Placement &placement)
{
    const std::optional<WorkerTime> listedFor = placement.listedFor();
    return !step.spec.longRunning || !listedFor || *listedFor < longRunningWindow;
}

void CellScheduler::onCrashRecorded(const TaskKey &key)
{
    CellJob *job = nullptr;
    CellStep *step = findStep(key, job);
    if (!step)
        return;
    step->tasks[key.index.value()].onCrashRecorded();
    passNeeded_ = true;
}

bool CellScheduler::recordsStart(const CellStep &step, const CellTask &task)
{
    if (!step.spec.gang)
        return !task.crashes().isEmpty();
    return std::any_of(step.tasks.begin(), step.tasks.end(),
                       [](const CellTask &member) { return !member.crashes().isEmpty(); });
}

void CellScheduler::onStartRecorded(const TaskKey &key, RunNumber run)
{
    const auto start = unsentStarts_.find(key);
    if (start != unsentStarts_.end() && start->second.request.run == run)
        start->second.isRecorded = true;
}

void CellScheduler::sendRecordedStarts(bool maySchedule)
{
    for (auto start = unsentStarts_.begin(); start != unsentStarts_.end();) {
        RecordedFirst &next = start->second;
        const bool isDue = maySchedule && next.isRecorded;
        if (fleet_.isStopRequested(next.worker, next.request)
            || (isDue && !fleet_.mayReceive(next.worker))) {
            logNotSent(next);
            fleet_.discardStart(next.worker, next.request);
        } else if (isDue) {
            fleet_.sendStart(next.worker, std::move(next.request));
        } else {
            ++start;
            continue;
        }
        start = unsentStarts_.erase(start);
    }
}

void CellScheduler::logNotSent(const RecordedFirst &start)
{
    const TaskKey &task = start.request.task;
    context_.log("event=start_not_sent job={} step={} task={} run={} worker={} recorded={} "
                 "stop_requested={}",
                 task.job.value(), task.step.value(), task.index.value(), start.request.run.value(),
                 start.worker.value(), start.isRecorded,
                 fleet_.isStopRequested(start.worker, start.request));
}

CellScheduler::OpenStartOutcome CellScheduler::outcomeOf(const LoggedStart &start)
{
    CellJob *job = nullptr;
    const CellStep *step = findStep(start.task, job);
    if (!step || isFinal(job->state()) || step->tasks[start.task.index.value()].isFinished()
        || findRun(start.task, start.run, start.worker))
        return OpenStartOutcome::Settled;
    const CellWorker *worker = fleet_.worker(start.worker);
    if (fleet_.isReplaced(start.address, start.worker, start.incarnation))
        return OpenStartOutcome::Crashed;
    if (!worker || !worker->incarnation) {
        const bool isGone = !(worker && worker->isListed)
                && context_.now() - termStartedAt_ >= openStartLimit;
        return isGone ? OpenStartOutcome::Settled : OpenStartOutcome::Unknown;
    }
    if (*worker->incarnation > start.incarnation) {
        const bool hasDrained = worker->drainedIncarnation == start.incarnation;
        return hasDrained ? OpenStartOutcome::Settled : OpenStartOutcome::Crashed;
    }
    if (worker->isExpiryUnconfirmed(confirmedAt_))
        return OpenStartOutcome::Unlisted;
    if (worker->isLeaseExpired(confirmedAt_))
        return worker->isStateRead ? OpenStartOutcome::Settled : OpenStartOutcome::Unknown;
    if (!worker->isStateRead)
        return worker->firstListClock ? OpenStartOutcome::Unlisted : OpenStartOutcome::Unknown;
    const bool hasFailed = step->failedGangRuns.contains(start.run)
            || step->tasks[start.task.index.value()].failedRuns.contains(start.run);
    return hasFailed || !worker->mayListLate() ? OpenStartOutcome::Settled
                                               : OpenStartOutcome::Unlisted;
}

bool CellScheduler::awaitsCompletion(const TaskKey &key)
{
    for (auto row = openStarts_.lower_bound({key, RunNumber()});
         row != openStarts_.end() && row->first.first == key; ++row) {
        if (outcomeOf(row->second) == OpenStartOutcome::Unlisted)
            return true;
    }
    return false;
}

void CellScheduler::resolveOpenStarts()
{
    std::map<WorkerCrash, std::vector<LostRun>> crashes;
    std::erase_if(openStarts_, [&](const auto &row) {
        const LoggedStart &start = row.second;
        const OpenStartOutcome outcome = outcomeOf(start);
        // Until the other workers are read, it is open whether they went down as well.
        const bool isEarly
                = outcome == OpenStartOutcome::Crashed && fleet_.mayHaveUnknownRuns(start.task.job);
        if (outcome == OpenStartOutcome::Unknown || outcome == OpenStartOutcome::Unlisted
            || isEarly)
            return false;
        if (outcome == OpenStartOutcome::Crashed)
            crashes[{start.worker, start.incarnation}].push_back({start.task, start.run, {}});
        CellJob *job = nullptr;
        CellStep *step = findStep(start.task, job);
        CellTask *task = step ? &step->tasks[start.task.index.value()] : nullptr;
        const bool isCurrent = task && task->isIn(CellTask::State::OnWorker);
        if (task && !isCurrent && task->recordedStart && task->recordedStart->run == start.run)
            task->recordedStart.reset();
        return true;
    });
    for (const auto &[crash, lost] : crashes)
        loggedCrashes_.insert(crash);
    std::map<WorkerCrash, JobsOfSharedCrash> shared = findCommonCausesInLog(crashes);
    for (const auto &[crash, lost] : crashes)
        countCrashes(crash, CrashEvidence::StartLog, lost, shared[crash]);
}

void CellScheduler::addRecordedStarts(const CellJob &job)
{
    for (const CellStep &step : job.steps()) {
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const std::optional<RecordedStart> &start = step.tasks[i].recordedStart;
            if (start) {
                const TaskKey key = step.taskKey(i);
                const LoggedStart logged {key,   start->run,    start->worker, start->incarnation,
                                          false, start->address};
                openStarts_.insert_or_assign({key, start->run}, logged);
                takenOverStarts_[start->worker].push_back(logged);
            }
        }
    }
}

bool CellScheduler::isStartNeeded(const LoggedStart &start)
{
    CellJob *job = nullptr;
    const CellStep *step = findStep(start.task, job);
    if (start.hasEnded || !step || isFinal(job->state()))
        return false;
    const CellTask &task = step->tasks[start.task.index.value()];
    if (task.isFinished())
        return false;
    if (openStarts_.contains({start.task, start.run})
        || findRun(start.task, start.run, start.worker))
        return true;
    // The worker's lease has expired, and it may still show that it has crashed.
    const CellWorker *worker = fleet_.worker(start.worker);
    return worker && worker->incarnation == start.incarnation
            && std::any_of(worker->expiredPlacements.begin(), worker->expiredPlacements.end(),
                           [&](const Placement &placement) {
                               return placement.run == start.run && placement.task == start.task;
                           });
}

void CellScheduler::logEnd(const WorkerId &worker, std::optional<WorkerIncarnation> incarnation,
                           const TaskKey &key, RunNumber run)
{
    startLog_.addEnd({key, run, worker, incarnation.value_or(WorkerIncarnation())});
}

bool CellScheduler::awaitsCrashEvidence(const CellStep &step, std::size_t index) const
{
    // A long-running task serves others, so it does not wait for workers that may never return.
    return step.tasks[index].crashes().needsIsolation()
            && fleet_.mayHaveCrashedUnder(step.taskKey(index), step.spec.longRunning);
}

void CellScheduler::collectSuspects()
{
    if (jobsWithCrashes_.empty())
        return;
    std::map<WorkerId, std::vector<SuspectRun>> suspects;
    for (const JobId &id : jobsWithCrashes_) {
        const CellJob *job = findJob(id);
        for (const CellStep &step : job->steps()) {
            for (const CellTask &task : step.tasks) {
                if (task.isIn(CellTask::State::OnWorker) && task.crashes().isSuspect())
                    suspects[task.worker()].push_back(
                            {id, task.crashes().needsIsolation(),
                             task.progressAt - task.placedAt() < probation});
            }
        }
    }
    for (WorkerOption &option : pass_.options.all()) {
        const auto found = suspects.find(option.worker->id());
        if (found != suspects.end())
            option.suspects = std::move(found->second);
    }
}

bool CellScheduler::isIsolated(const WorkerOption &option, const JobId &job)
{
    return std::any_of(option.suspects.begin(), option.suspects.end(), [&](const SuspectRun &run) {
        return run.job != job && run.needsIsolation && run.isOnProbation;
    });
}

double CellScheduler::crashPenalty(const WorkerOption &option, const JobId &job,
                                   const CrashHistory &crashes)
{
    double penalty = 0;
    bool hasSuspect = false;
    bool hasIsolated = false;
    for (const SuspectRun &run : option.suspects) {
        hasSuspect = hasSuspect || run.job != job;
        hasIsolated = hasIsolated || (run.job != job && run.needsIsolation);
    }
    if (hasIsolated)
        penalty += isolatedTaskWeight;
    if (hasSuspect && crashes.isSuspect())
        penalty += suspectTaskWeight;
    if (!crashes.needsIsolation())
        return penalty;
    const std::vector<Placement> &placements = option.worker->placements;
    const std::int64_t others
            = std::count_if(placements.begin(), placements.end(),
                            [&](const Placement &placement) { return placement.task.job != job; });
    return penalty + otherRunWeight * static_cast<double>(std::min(others, maxOtherRuns));
}

} // namespace caraway::cell
