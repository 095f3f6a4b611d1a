#pragma once

#include "fleet.h"

namespace review {

/// Returns 1 when the rule was broken, 0 when it held, and 2 when the case
/// couldn't run.
using Case = int (*)(Record &record, bool hasTrouble);
const std::map<std::string, Case> &cases();

int reservedForGang(Record &record, bool hasTrouble);
int stuckApprovals(Record &record, bool hasTrouble);
int phantomArrivals(Record &record, bool hasTrouble);
int holdersKilled(Record &record, bool hasTrouble);
int startsNeverArrive(Record &record, bool hasTrouble);

/// One task of a job that waits.
struct WaitingJob
{
    std::string queue;
    std::string id;
    std::int64_t cpu = 0;
    /// The only worker that may run it; empty for all.
    std::string onlyOn = {};
    /// Its step that waits, after all of the steps before it have ended as done.
    int step = 0;
};

/// A job with one task that works for two seconds.
Json smallJob(std::int64_t cpu);
/// Starts the processes and waits until they are ready and know the workers.
bool start(Fleet &fleet);
/// Judges LOST: from `finish_s` after the last request of the traffic, at \a
/// trafficEnd, the job has nothing running for 3 s, while there is capacity for
/// it twice over and under half of the capacity is in use. Looks for \a lookMs.
int judge(Fleet &fleet, const WaitingJob &job, std::int64_t trafficEnd, std::int64_t lookMs);

} // namespace review
