#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

CellScheduler::JobsOfSharedCrash CellScheduler::findCommonCause(const WorkerCrash &crash,
                                                                const std::vector<LostRun> &lost)
{
    JobsOfSharedCrash shared;
    const auto found = fleet_.outages().find(crash.worker);
    if (found == fleet_.outages().end() || found->second.incarnation != crash.incarnation)
        return shared;
    const WorkerOutage &outage = found->second;
    std::vector<OutageBeside> beside;
    for (const auto &[id, other] : fleet_.outages()) {
        if (id != crash.worker && outage.coincidesWith(other))
            beside.push_back({&id, &other, std::nullopt});
    }
    for (const JobId &job : jobsOf(lost)) {
        CommonCause::Others others = othersDown(beside, job);
        if (others.down > 0 && !CommonCause::isCertain(others))
            addWorkersStillUp(others, crash.worker, outage, job);
        if (CommonCause::explains(others))
            shared.emplace(job, others);
    }
    return shared;
}

std::set<JobId> CellScheduler::jobsOf(const std::vector<LostRun> &lost)
{
    std::set<JobId> jobs;
    for (const LostRun &run : lost)
        jobs.insert(run.task.job);
    return jobs;
}

CommonCause::Others CellScheduler::othersDown(std::vector<OutageBeside> &outages, const JobId &job)
{
    CommonCause::Others others;
    for (OutageBeside &other : outages) {
        if (CommonCause::isCertain(others))
            break;
        if (other.outage->hasRunOf(job))
            continue;
        if (!other.isExplained)
            other.isExplained = isExplained(*other.worker, *other.outage);
        ++others.down;
        others.explained += *other.isExplained ? 1 : 0;
    }
    return others;
}

void CellScheduler::addWorkersStillUp(CommonCause::Others &others, const WorkerId &crashed,
                                      const WorkerOutage &outage, const JobId &job) const
{
    for (const auto &[id, worker] : fleet_.workers()) {
        const auto other = fleet_.outages().find(id);
        const bool isDown = other != fleet_.outages().end() && outage.coincidesWith(other->second);
        const bool hasRun = std::any_of(
                worker.placements.begin(), worker.placements.end(),
                [&](const Placement &placement) { return placement.task.job == job; });
        if (id == crashed || !worker.isListed || isDown || hasRun)
            continue;
        const bool wasUp = worker.unansweredCalls == 0 && worker.firstReadAt
                && *worker.firstReadAt <= outage.until;
        ++(wasUp ? others.stayedUp : others.unknown);
    }
}

std::map<WorkerCrash, CellScheduler::JobsOfSharedCrash>
CellScheduler::findCommonCausesInLog(const std::map<WorkerCrash, std::vector<LostRun>> &crashes)
{
    std::map<WorkerCrash, JobsOfSharedCrash> shared;
    if (crashes.empty())
        return shared;
    std::map<WorkerId, WorkerOutage> logged;
    for (const auto &[id, starts] : takenOverStarts_)
        logged.emplace(id, lastLoggedRuns(starts));
    std::vector<OutageBeside> down;
    std::vector<const WorkerOutage *> up;
    std::size_t unknown = 0;
    for (const auto &[id, last] : logged) {
        const CellWorker *worker = fleet_.worker(id);
        if (!worker || !worker->incarnation)
            ++unknown;
        else if (*worker->incarnation == last.incarnation)
            up.push_back(&last);
        else if (*worker->incarnation > last.incarnation && !last.runs.empty()
                 && worker->drainedIncarnation != last.incarnation)
            down.push_back({&id, &last, std::nullopt});
    }
    for (const auto &[crash, lost] : crashes) {
        for (const JobId &job : jobsOf(lost)) {
            // The crashed worker has a run of the job.
            CommonCause::Others others = othersDown(down, job);
            others.unknown = unknown;
            if (others.down > 0 && !CommonCause::isCertain(others)) {
                others.stayedUp = static_cast<std::size_t>(
                        std::count_if(up.begin(), up.end(), [&](const WorkerOutage *last) {
                            return !last->hasRunOf(job);
                        }));
            }
            if (CommonCause::explains(others))
                shared[crash].emplace(job, others);
        }
    }
    return shared;
}

WorkerOutage CellScheduler::lastLoggedRuns(const std::vector<LoggedStart> &starts)
{
    WorkerOutage last;
    for (const LoggedStart &start : starts)
        last.incarnation = std::max(last.incarnation, start.incarnation);
    for (const LoggedStart &start : starts) {
        if (start.incarnation != last.incarnation)
            continue;
        CellJob *job = nullptr;
        const CellStep *step = findStep(start.task, job);
        if (!step || isFinal(job->state()))
            continue;
        const CellTask &task = step->tasks[start.task.index.value()];
        const WorkerCrash crash {start.worker, start.incarnation};
        // An earlier holder has counted it, so the worker had crashed before.
        const bool isEarlier
                = task.crashes().crashes().contains(crash) && !loggedCrashes_.contains(crash);
        if (!task.isFinished() && !isEarlier)
            last.runs.push_back(start.task);
    }
    return last;
}

bool CellScheduler::isExplained(const WorkerId &worker, const WorkerOutage &outage)
{
    return std::any_of(outage.runs.begin(), outage.runs.end(), [&](const TaskKey &key) {
        CellJob *job = nullptr;
        const CellStep *step = findStep(key, job);
        return step
                && step->tasks[key.index.value()].crashes().mayExplain(
                        {worker, outage.incarnation});
    });
}

} // namespace caraway::cell
