#include "Cell/CellScheduler.h"

namespace caraway::cell {

namespace {

/// Runs on a leaving worker are stopped this long before it may leave: a worker takes up to a
/// second for a stop, and the completion has to be read from it.
constexpr WorkerTime evacuationLead {1500};

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
        // Stopping a run changes the list of placements.
        const std::vector<Placement> placements = worker.placements;
        for (const Placement &placement : placements)
            evacuate(worker, placement, *remaining);
    }
}

void CellScheduler::evacuate(const CellWorker &worker, const Placement &placement,
                             WorkerTime remaining)
{
    CellTask *task = findRun(placement.task, placement.run, worker.id());
    if (!task || placement.stopRequested)
        return;
    CellJob *job = nullptr;
    CellStep *step = findStep(placement.task, job);
    const Milliseconds elapsed = context_.now() - task->placedAt();
    const Milliseconds expected
            = std::max(step->spec.estimate, expectedDuration(queueOf(*job).id, step->spec));
    const bool isAboutToComplete = elapsed < expected
            && expected - elapsed < Milliseconds(remaining.count()) && !step->spec.longRunning;
    if (isAboutToComplete)
        return;
    context_.log("event=run_evacuated job={} step={} task={} run={} worker={} leaves_in_ms={} "
                 "elapsed_ms={} expected_ms={}",
                 placement.task.job.value(), placement.task.step.value(),
                 placement.task.index.value(), placement.run.value(), worker.id().value(),
                 remaining.count(), elapsed.count(), expected.count());
    if (step->spec.gang) {
        stopGang(*step, placement.run);
        return;
    }
    task->handle(CellTask::Event::StopRequested);
    fleet_.stop(worker.id(), placement.task, placement.run);
}

} // namespace caraway::cell
