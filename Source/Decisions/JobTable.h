#pragma once

#include "Decisions/JobRecord.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace caraway {

/// The jobs of one shard by name, with the times at which their waits time out and their retention
/// is checked. A scheduling pass looks only at the jobs that are due.
class JobTable
{
public:
    JobRecord *find(const JobName &name);
    /// The record of the job named in \a spec; adds one if there is none.
    JobRecord &findOrAdd(const JobSpec &spec);
    void remove(const JobName &name) { jobs_.erase(name); }
    void clear();
    std::size_t size() const { return jobs_.size(); }
    /// Whether any task of any job is in \a state. Linear in the number of tasks.
    bool hasTaskIn(Task::State state) const;

    /// Schedules the end of a caller's wait for \a job.
    void scheduleWaitTimeout(TimePoint time, const JobName &job)
    {
        waitTimeouts_.emplace(time, job);
    }
    /// Schedules a check whether \a job can be removed.
    void scheduleRetentionCheck(TimePoint time, const JobName &job)
    {
        retentionChecks_.emplace(time, job);
    }
    /// Removes and returns the jobs with a wait that ends at \a now or earlier.
    std::vector<JobName> takeTimedOutWaits(TimePoint now) { return takeDue(waitTimeouts_, now); }
    std::vector<JobName> takeRetentionChecks(TimePoint now)
    {
        return takeDue(retentionChecks_, now);
    }

private:
    using Schedule = std::multimap<TimePoint, JobName>;
    static std::vector<JobName> takeDue(Schedule &schedule, TimePoint now);

    std::unordered_map<JobName, JobRecord> jobs_;
    Schedule waitTimeouts_;
    Schedule retentionChecks_;
};

} // namespace caraway
