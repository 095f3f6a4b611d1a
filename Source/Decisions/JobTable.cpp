#include "Decisions/JobTable.h"

#include <algorithm>

namespace caraway {

JobRecord *JobTable::find(const JobName &name)
{
    const auto found = jobs_.find(name);
    return found == jobs_.end() ? nullptr : &found->second;
}

JobRecord &JobTable::findOrAdd(const JobSpec &spec)
{
    return jobs_.try_emplace(spec.name, spec).first->second;
}

bool JobTable::hasTaskIn(Task::State state) const
{
    return std::ranges::any_of(jobs_, [state](const auto &entry) {
        return std::ranges::any_of(entry.second.tasks(),
                                   [state](const Task &task) { return task.isIn(state); });
    });
}

void JobTable::clear()
{
    jobs_.clear();
    waitTimeouts_.clear();
    retentionChecks_.clear();
}

std::vector<JobName> JobTable::takeDue(Schedule &schedule, TimePoint now)
{
    const auto end = schedule.upper_bound(now);
    std::vector<JobName> due;
    for (auto entry = schedule.begin(); entry != end; ++entry)
        due.push_back(std::move(entry->second));
    schedule.erase(schedule.begin(), end);
    return due;
}

} // namespace caraway
