#include "cases.h"

#include <algorithm>

namespace review {

namespace {

constexpr int workers = 8;
constexpr int gangMembers = 8;
constexpr std::int64_t largeCpu = 30'000;
constexpr std::int64_t smallCpu = 8'000;
constexpr std::int64_t lookMs = 30'000;
const std::string lasting = "00000000000000a1";
const std::string gang = "00000000000000b1";
const std::string small = "00000000000000c1";

bool areAllAtWork(Fleet &fleet)
{
    return std::ranges::count_if(fleet.journal().runsOf(lasting), &Run::isOpen) == workers - 1;
}

/// A job whose tasks last, one on each worker but one.
bool submitLasting(Fleet &fleet)
{
    Json step {{"count", workers - 1}, {"cpu", largeCpu},   {"memMb", 1024},
               {"estimateMs", 2000},   {"maxPerServer", 1}, {"longRunning", true}};
    return fleet.submit("merge", lasting,
                        {{"spec", "lasts=1 cpu=" + std::to_string(largeCpu)},
                         {"steps", Json::array({std::move(step)})}});
}

bool submitGang(Fleet &fleet)
{
    Json step {{"count", gangMembers},
               {"cpu", largeCpu},
               {"memMb", 1024},
               {"estimateMs", 6200},
               {"gang", true}};
    return fleet.submit("compile", gang,
                        {{"spec", "work=5000 members=8 cpu=" + std::to_string(largeCpu)},
                         {"steps", Json::array({std::move(step)})}});
}

} // namespace

/// One worker of eight is lost for good, so that a gang does not fit beside the
/// tasks that last.
int reservedForGang(Record &record, bool hasTrouble)
{
    constexpr std::int64_t settleMs = 15'000;
    Fleet fleet(record, 3,
                Json::array({route("compile", 1, 2.2, 0, 4), route("merge", 2, 4.0, 0, 3)}));
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a910" + std::to_string(i),
                        {64'000, 262'144, 0, {"a", "r1-" + std::to_string(i / 4)}});
    if (!start(fleet) || !submitLasting(fleet))
        return 2;
    for (int i = 0; i < 100 && !areAllAtWork(fleet); ++i)
        sleepMs(100);
    if (hasTrouble)
        fleet.workers().front()->crash();
    // A lasting task that was there runs elsewhere long before the end of this.
    sleepMs(settleMs);
    if (!areAllAtWork(fleet) || !submitGang(fleet))
        return 2;
    sleepMs(1000);
    if (!fleet.submit("merge", small, smallJob(smallCpu)))
        return 2;
    return judge(fleet, {"merge", small, smallCpu}, nowMs(), lookMs);
}

} // namespace review
