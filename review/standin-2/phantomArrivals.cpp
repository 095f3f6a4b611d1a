#include "cases.h"

namespace review {

namespace {

constexpr int workers = 8;
constexpr int timedJobs = 6;
constexpr std::int64_t labelledCpu = 8'000;
constexpr std::int64_t lookMs = 20'000;
const std::string labelled = "00000000000000c3";
const std::string onlyWithLabel = "i-7f3a9300";

/// Urgent jobs that are due tomorrow.
bool submitTimed(Fleet &fleet)
{
    constexpr std::int64_t day = 86'400'000;
    const Json step {{"count", 12}, {"cpu", 17'000}, {"memMb", 21'000}, {"estimateMs", 2500}};
    for (int i = 0; i < timedJobs; ++i) {
        const Json job {{"spec", "work=2500 cpu=17000"},
                        {"runCount", 6},
                        {"startTimeMs", unixMs() + day},
                        {"intervalMs", 4500},
                        {"steps", Json::array({step})}};
        if (!fleet.submit("preview", "00000000000000d" + std::to_string(i), job))
            return false;
    }
    return true;
}

/// Which process is the holder is not visible outside, so each is killed in
/// turn.
void killEach(Fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.instances(); ++i) {
        fleet.record().write("edge-" + std::to_string(i + 1) + " is killed, and starts again");
        fleet.instance(i).kill();
        sleepMs(500);
        fleet.restartInstance(i);
        sleepMs(1000);
    }
}

} // namespace

/// The processes are killed and start again while urgent jobs are due tomorrow;
/// then a job of another queue comes that only one worker may run, as of its
/// label.
int phantomArrivals(Record &record, bool hasTrouble)
{
    constexpr std::int64_t fadeMs = 30'000;
    constexpr std::int64_t readyMs = 15'000;
    Fleet fleet(record, 3,
                Json::array({route("preview", 0, 1.5, 250, 4), route("merge", 2, 4.0, 3000, 3)}));
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a930" + std::to_string(i),
                        {64'000, 262'144, 0, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)}});
    if (!start(fleet) || !submitTimed(fleet))
        return 2;
    sleepMs(fadeMs);
    if (hasTrouble)
        killEach(fleet);
    Json job = smallJob(labelledCpu);
    job["steps"][0]["requiredLabel"] = "b";
    if (!fleet.awaitReady(readyMs) || !fleet.submit("merge", labelled, job))
        return 2;
    return judge(fleet, {"merge", labelled, labelledCpu, onlyWithLabel}, nowMs(), lookMs);
}

} // namespace review
