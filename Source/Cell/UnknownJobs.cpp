#include "Cell/UnknownJobs.h"

namespace caraway::cell {

namespace {

/// Workers report within this time of each other after a takeover, so that few lists serve all.
constexpr Milliseconds listInterval {300};

} // namespace

void UnknownJobs::add(Completion completion, TimePoint now)
{
    listedOf(completion.run.task.job, now).completions.push_back(std::move(completion));
}

void UnknownJobs::add(Run run, TimePoint now)
{
    listedOf(run.running.task.job, now).runs.push_back(std::move(run));
}

UnknownJobs::Listed &UnknownJobs::listedOf(const JobId &job, TimePoint now)
{
    const auto [position, isNew] = jobs_.try_emplace(job);
    if (isNew)
        position->second.since = now;
    return position->second;
}

UnknownJobs::Listed UnknownJobs::take(const JobId &job)
{
    const auto found = jobs_.extract(job);
    return found ? std::move(found.mapped()) : Listed();
}

std::vector<std::pair<JobId, UnknownJobs::Listed>> UnknownJobs::takeListedBefore(TimePoint time)
{
    std::vector<std::pair<JobId, Listed>> taken;
    for (auto job = jobs_.begin(); job != jobs_.end();) {
        if (job->second.since >= time) {
            ++job;
            continue;
        }
        taken.emplace_back(job->first, std::move(job->second));
        job = jobs_.erase(job);
    }
    return taken;
}

bool UnknownJobs::isListDue(TimePoint now)
{
    if (jobs_.empty() || now < nextList_)
        return false;
    nextList_ = now + listInterval;
    return true;
}

void UnknownJobs::clear()
{
    jobs_.clear();
    nextList_ = {};
}

} // namespace caraway::cell
