#pragma once

#include "Cell/ProgressRecorder.h"

#include <map>
#include <vector>

namespace caraway::cell {

/// What workers list of jobs that the holder does not know. The former holder may have started a
/// job that was stored after the new one read the jobs, so all that is listed of a job is kept
/// until a later list of the stored jobs contains it or lacks it.
class UnknownJobs
{
public:
    struct Completion
    {
        ProgressRecorder::RecordedCompletion source;
        CompletedRun run;
    };
    struct Run
    {
        WorkerId worker;
        RunningTask running;
    };
    /// All that was listed of one job, in the order of the lists.
    struct Listed
    {
        /// When the job was listed first; it was stored before that.
        TimePoint since;
        std::vector<Completion> completions;
        /// Those that have ended since included.
        std::vector<Run> runs;
    };

    void add(Completion completion, TimePoint now);
    void add(Run run, TimePoint now);
    /// Removes and returns what was listed of the job.
    Listed take(const JobId &job);
    /// Removes and returns the jobs that were listed before \a time.
    std::vector<std::pair<JobId, Listed>> takeListedBefore(TimePoint time);
    /// Whether the stored jobs have to be listed now. True at intervals only, however many jobs are
    /// unknown.
    bool isListDue(TimePoint now);
    void clear();

private:
    Listed &listedOf(const JobId &job, TimePoint now);

    std::map<JobId, Listed> jobs_;
    TimePoint nextList_;
};

} // namespace caraway::cell
