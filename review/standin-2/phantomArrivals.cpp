#include "cases.h"

#include <csignal>

namespace review {

namespace {

constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t spanMs = 3000;
constexpr int workers = 8;
constexpr int timedJobs = 6;
constexpr std::int64_t labelledCpu = 8'000;
const std::string labelled = "00000000000000c3";

} // namespace

/// LOST, as in reservedForGang(). Six urgent jobs are due tomorrow; the process that is the holder
/// is killed; then a job of another queue comes that only one worker may run, as of its label.
int phantomArrivals(Record &record, bool hasTrouble)
{
    Fleet fleet(record, 3,
                Json::array({route("preview", 0, 1.5, 250, 4), route("merge", 2, 4.0, 3000, 3)}));
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a930" + std::to_string(i),
                        {64'000, 262'144, 0, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)}});
    fleet.startInstances();
    if (!fleet.awaitReady(15'000))
        return 2;
    sleepMs(3000);
    for (int i = 0; i < timedJobs; ++i) {
        const bool isAccepted = fleet.submit(
                "preview", "00000000000000d" + std::to_string(i),
                {{"spec", "work=2500 cpu=17000"},
                 {"runCount", 6},
                 {"startTimeMs", unixMs() + 86'400'000},
                 {"intervalMs", 4500},
                 {"steps",
                  {{{"count", 12}, {"cpu", 17'000}, {"memMb", 21'000}, {"estimateMs", 2500}}}}});
        if (!isAccepted)
            return 2;
    }
    sleepMs(30'000);
    // Which process is the holder is not visible outside, so each is killed in turn.
    for (std::size_t i = 0; hasTrouble && i < fleet.instances(); ++i) {
        record.write("edge-" + std::to_string(i + 1) + " is killed, and starts again");
        fleet.instance(i).signal(SIGKILL);
        sleepMs(500);
        fleet.restartInstance(i);
        sleepMs(1000);
    }
    if (!fleet.awaitReady(15'000))
        return 2;
    const bool isAccepted = fleet.submit("merge", labelled,
                                         {{"spec", "work=2000 cpu=" + std::to_string(labelledCpu)},
                                          {"steps",
                                           {{{"count", 1},
                                             {"cpu", labelledCpu},
                                             {"memMb", 1024},
                                             {"estimateMs", 2000},
                                             {"requiredLabel", "b"}}}}});
    if (!isAccepted)
        return 2;
    const std::int64_t trafficEnd = nowMs();
    record.write("end of the traffic");
    while (nowMs() < trafficEnd + finishMs) {
        sleepMs(2000);
        fleet.ask(0, "merge", labelled);
    }
    std::int64_t brokenSince = 0;
    std::int64_t longest = 0;
    while (nowMs() < trafficEnd + finishMs + 20'000) {
        const Worker &only = *fleet.workers().front();
        const bool hasRoom = only.cpu() - fleet.usedOn(only.id()) >= 2 * labelledCpu;
        if (!fleet.journal().runsOf(labelled).empty())
            break;
        brokenSince = !hasRoom || fleet.used() * 2 >= fleet.capacity() ? 0
                : brokenSince == 0                                     ? nowMs()
                                                                       : brokenSince;
        longest = std::max(longest, brokenSince == 0 ? 0 : nowMs() - brokenSince);
        sleepMs(50);
    }
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        fleet.ask(i, "merge", labelled);
    record.write("in use " + std::to_string(fleet.used()) + " of "
                 + std::to_string(fleet.capacity()) + " millicores; the job had nothing running for "
                 + std::to_string(longest) + " ms of this span");
    return longest >= spanMs ? 1 : 0;
}

} // namespace review
