#pragma once

#include "Decisions/JobRecord.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace caraway {

/// The jobs of one shard by name, and the times at which something about one of them is due. Each
/// round looks only at the jobs that are due.
class JobTable
{
public:
    JobRecord *find(const JobName &name);
    /// The record of that name; a new one where there is none.
    JobRecord &findOrAdd(const JobSpec &spec);
    void remove(const JobName &name) { jobs_.erase(name); }
    void clear();
    std::size_t size() const { return jobs_.size(); }
    /// Whether some task of some job is in \a state; looks at every job.
    bool hasTaskIn(Task::State state) const;

    /// Remembers that a wait of a caller for \a job ends at \a time.
    void noteWaitEnd(TimePoint time, const JobName &job) { waitEnds_.emplace(time, job); }
    /// Remembers that at \a time \a job may be forgotten.
    void noteReview(TimePoint time, const JobName &job) { reviews_.emplace(time, job); }
    /// The jobs with a wait that ends by \a now, each handed out once.
    std::vector<JobName> takeWaitEnds(TimePoint now) { return takeDue(waitEnds_, now); }
    std::vector<JobName> takeReviews(TimePoint now) { return takeDue(reviews_, now); }

private:
    using Schedule = std::multimap<TimePoint, JobName>;
    static std::vector<JobName> takeDue(Schedule &schedule, TimePoint now);

    std::unordered_map<JobName, JobRecord> jobs_;
    Schedule waitEnds_;
    Schedule reviews_;
};

} // namespace caraway
