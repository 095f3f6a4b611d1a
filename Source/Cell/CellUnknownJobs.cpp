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

void CellScheduler::applyListed(const JobId &id)
{
    for (const UnknownJobs::Completion &listed : unknownJobs_.take(id).completions) {
        CellJob *job = nullptr;
        if (CellStep *step = findStep(listed.run.task, job))
            recordCompletion(listed.source, listed.run, *job, *step);
        else
            discardCompletion(listed.source);
    }
}

void CellScheduler::onJobsListed(TimePoint sentAt)
{
    for (const auto &[id, listed] : unknownJobs_.takeListedBefore(sentAt)) {
        context_.log("event=unknown_job_not_stored job={} completions={}", id.value(),
                     listed.completions.size());
        for (const UnknownJobs::Completion &completion : listed.completions)
            discardCompletion(completion.source);
    }
}

void CellScheduler::discardCompletion(const ProgressRecorder::RecordedCompletion &source)
{
    fleet_.onCompletionRecorded(source.worker, source.incarnation, source.number);
}

} // namespace caraway::cell
