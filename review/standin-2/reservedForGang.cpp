#include "cases.h"

namespace review {

namespace {

constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t spanMs = 3000;
constexpr int workers = 8;
constexpr std::int64_t lastingCpu = 30'000;
constexpr std::int64_t memberCpu = 30'000;
constexpr std::int64_t smallCpu = 8'000;
const std::string lasting = "00000000000000a1";
const std::string gang = "00000000000000b1";
const std::string small = "00000000000000c1";

std::string workerId(int i)
{
    return "i-7f3a910" + std::to_string(i);
}

std::int64_t openRuns(const Fleet &, const std::vector<Run> &runs)
{
    std::int64_t open = 0;
    for (const Run &run : runs)
        open += run.isOpen() ? 1 : 0;
    return open;
}

} // namespace

/// LOST: `finish_s` after the end of the traffic, a job has nothing running for 3 s while its
/// task's turn has come, there is capacity for it twice over, and under half of the service's
/// capacity is in use. The disruption: one worker of eight is lost for good.
int reservedForGang(Record &record, bool hasTrouble)
{
    Fleet fleet(record, 3,
                Json::array({route("compile", 1, 2.2, 0, 4), route("merge", 2, 4.0, 0, 3)}));
    for (int i = 0; i < workers; ++i)
        fleet.addWorker(workerId(i), {64'000, 262'144, 0, {"a", "r1-" + std::to_string(i / 4)}});
    fleet.startInstances();
    if (!fleet.awaitReady(15'000))
        return 2;
    sleepMs(3000);
    const bool hasLasting = fleet.submit(
            "merge", lasting,
            {{"spec", "lasts=1 cpu=" + std::to_string(lastingCpu)},
             {"steps",
              {{{"count", workers - 1},
                {"cpu", lastingCpu},
                {"memMb", 1024},
                {"estimateMs", 2000},
                {"maxPerServer", 1},
                {"longRunning", true}}}}});
    if (!hasLasting)
        return 2;
    const std::int64_t until = nowMs() + 10'000;
    while (openRuns(fleet, fleet.journal().runsOf(lasting)) < workers - 1) {
        if (nowMs() > until)
            return 2;
        sleepMs(100);
    }
    if (hasTrouble)
        fleet.workers().front()->crash();
    // The lasting task that was there, if any, runs elsewhere long before.
    sleepMs(15'000);
    if (openRuns(fleet, fleet.journal().runsOf(lasting)) != workers - 1)
        return 2;
    const bool hasGang = fleet.submit(
            "compile", gang,
            {{"spec", "work=5000 members=8 cpu=" + std::to_string(memberCpu)},
             {"steps",
              {{{"count", 8},
                {"cpu", memberCpu},
                {"memMb", 1024},
                {"estimateMs", 6200},
                {"gang", true}}}}});
    sleepMs(1000);
    const bool hasSmall = fleet.submit("merge", small,
                                       {{"spec", "work=2000 cpu=" + std::to_string(smallCpu)},
                                        {"steps",
                                         {{{"count", 1},
                                           {"cpu", smallCpu},
                                           {"memMb", 1024},
                                           {"estimateMs", 2000}}}}});
    if (!hasGang || !hasSmall)
        return 2;
    const std::int64_t trafficEnd = nowMs();
    record.write("end of the traffic");
    while (nowMs() < trafficEnd + finishMs) {
        sleepMs(2000);
        fleet.ask(0, "merge", small);
    }
    // Each moment of the span has to break the rule.
    std::int64_t brokenSince = 0;
    std::int64_t longest = 0;
    while (nowMs() < trafficEnd + finishMs + 45'000 && longest < 30'000) {
        std::int64_t room = 0;
        for (const auto &worker : fleet.workers()) {
            if (worker->isUp())
                room += std::max<std::int64_t>(
                        0, (worker->cpu() - fleet.usedOn(worker->id())) / smallCpu);
        }
        const bool hasRun = !fleet.journal().runsOf(small).empty();
        const bool isHalfFree = fleet.used() * 2 < fleet.capacity();
        if (!hasRun && room >= 2 && isHalfFree) {
            brokenSince = brokenSince == 0 ? nowMs() : brokenSince;
            longest = std::max(longest, nowMs() - brokenSince);
        } else {
            brokenSince = 0;
        }
        if (hasRun)
            break;
        sleepMs(100);
    }
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        fleet.ask(i, "merge", small);
    record.write("in use " + std::to_string(fleet.used()) + " of "
                 + std::to_string(fleet.capacity()) + " millicores; the job had nothing running for "
                 + std::to_string(longest) + " ms of this span");
    return longest >= spanMs ? 1 : 0;
}

} // namespace review
