#include "Cell/CellScheduler.h"

namespace caraway::cell {

namespace {

/// Runs on a leaving worker are stopped this long before it may leave: a worker takes up to a
/// second for a stop, and the completion has to be read from it.
constexpr WorkerTime evacuationLead {1500};
/// A run that is expected to complete is kept only if it may take this much longer.
constexpr Milliseconds completionMargin {500};
constexpr std::int64_t percent = 100;

} // namespace

/// Stops the runs on workers that are about to leave, so that their tasks start elsewhere from
/// their latest checkpoint. A run that is lost with its worker is known to have ended only once
/// the worker's lease has expired.
void CellScheduler::evacuateLeavingWorkers()
{
    for (const auto &[id, worker] : fleet_.workers()) {
        const std::optional<WorkerTime> remaining = worker.timeToLeaving(context_.now());
        if (!remaining || *remaining > evacuationLead)
            continue;
        for (const Placement &placement : worker.placements)
            evacuate(worker, placement, *remaining);
    }
}

/// Whether the run is likely to complete while the worker stays. The expected duration of the whole
/// task may be wrong, or the worker slow, so the speed so far counts as well.
bool CellScheduler::completesBefore(const CellJob &job, const CellStep &step, const CellTask &task,
                                    WorkerTime remaining) const
{
    if (step.spec.longRunning)
        return false;
    const std::int64_t done = std::min(task.progress.count(), percent);
    const Milliseconds duration
            = std::max(step.spec.estimate, expectedDuration(queueOf(job).id, step.spec));
    Milliseconds left = duration * (percent - done) / percent;
    if (done > 0)
        left = std::max(left, (task.progressAt - task.placedAt()) * (percent - done) / done);
    const Milliseconds sinceListed = context_.now() - task.progressAt;
    return left > sinceListed
            && left - sinceListed + completionMargin < Milliseconds(remaining.count());
}

void CellScheduler::evacuate(const CellWorker &worker, const Placement &placement,
                             WorkerTime remaining)
{
    CellTask *task = findRun(placement.task, placement.run, worker.id());
    if (!task || placement.stopRequested)
        return;
    CellJob *job = nullptr;
    CellStep *step = findStep(placement.task, job);
    if (completesBefore(*job, *step, *task, remaining))
        return;
    context_.log("event=run_evacuated job={} step={} task={} run={} worker={} leaves_in_ms={} "
                 "running_for_ms={} progress_percent={}",
                 placement.task.job.value(), placement.task.step.value(),
                 placement.task.index.value(), placement.run.value(), worker.id().value(),
                 remaining.count(), (context_.now() - task->placedAt()).count(),
                 task->progress.count());
    if (step->spec.gang) {
        stopGang(*step, placement.run);
        return;
    }
    task->handle(CellTask::Event::StopRequested);
    fleet_.stop(worker.id(), placement.task, placement.run);
}

} // namespace caraway::cell
