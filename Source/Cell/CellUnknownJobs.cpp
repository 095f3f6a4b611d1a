#include "Cell/CellScheduler.h"

namespace caraway::cell {

bool CellScheduler::keepUnknown(const ProgressRecorder::RecordedCompletion &source,
                                const CompletedRun &completion)
{
    const JobId &id = completion.task.job;
    const bool isFinished = finishedJobs_.contains(id);
    context_.log("event=completion_of_unknown_job job={} step={} task={} run={} worker={} "
                 "incarnation={} number={} reason={} finished={}",
                 id.value(), completion.task.step.value(), completion.task.index.value(),
                 completion.run.value(), source.worker.value(), source.incarnation.value(),
                 source.number.value(), static_cast<int>(completion.reason), isFinished);
    if (isFinished || findJob(id))
        return false;
    unknownJobs_.add({source, completion}, context_.now());
    return true;
}

WorkerFleet::RunDecision CellScheduler::decideUnknown(const CellWorker &worker,
                                                      const RunningTask &running)
{
    const JobId &id = running.task.job;
    const bool isFinished = finishedJobs_.contains(id);
    context_.log("event=run_of_unknown_job job={} step={} task={} run={} worker={} finished={}",
                 id.value(), running.task.step.value(), running.task.index.value(),
                 running.run.value(), worker.id().value(), isFinished);
    if (isFinished || findJob(id))
        return {};
    unknownJobs_.add({worker.id(), running}, context_.now());
    return {WorkerFleet::RunDecision::Kind::Later};
}

void CellScheduler::applyListed(const JobId &id)
{
    const UnknownJobs::Listed listed = unknownJobs_.take(id);
    for (const auto &[worker, running] : listed.runs) {
        if (fleet_.isUndecided(worker, running.task, running.run)) {
            fleet_.decide(worker, running.task, running.run,
                          onDiscovered(*fleet_.worker(worker), running));
        }
    }
    for (const UnknownJobs::Completion &completion : listed.completions) {
        CellJob *job = nullptr;
        if (CellStep *step = findStep(completion.run.task, job))
            recordCompletion(completion.source, completion.run, *job, *step);
        else
            discardCompletion(completion.source);
    }
}

void CellScheduler::onJobsListed(TimePoint sentAt)
{
    for (const auto &[id, listed] : unknownJobs_.takeListedBefore(sentAt)) {
        context_.log("event=unknown_job_not_stored job={} completions={} runs={}", id.value(),
                     listed.completions.size(), listed.runs.size());
        for (const auto &[worker, running] : listed.runs)
            fleet_.decide(worker, running.task, running.run, {});
        for (const UnknownJobs::Completion &completion : listed.completions)
            discardCompletion(completion.source);
    }
}

void CellScheduler::discardCompletion(const ProgressRecorder::RecordedCompletion &source)
{
    fleet_.onCompletionRecorded(source.worker, source.incarnation, source.number);
}

} // namespace caraway::cell
