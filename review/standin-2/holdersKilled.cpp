#include "cases.h"

#include <algorithm>

namespace review {

namespace {

constexpr int workers = 8;
constexpr std::int64_t fillerCpu = 4'000;
constexpr std::int64_t smallCpu = 4'000;
constexpr std::int64_t lookMs = 10'000;
const std::string filler = "00000000000000a4";
const std::string small = "00000000000000c4";

/// A job with a task of 10 s on each worker.
bool submitFiller(Fleet &fleet)
{
    Json step {{"count", workers},
               {"cpu", fillerCpu},
               {"memMb", 1024},
               {"estimateMs", 10'000},
               {"maxPerServer", 1}};
    return fleet.submit("merge", filler,
                        {{"spec", "work=10000 cpu=" + std::to_string(fillerCpu)},
                         {"steps", Json::array({std::move(step)})}});
}

/// A job of two steps, each with one task of 2 s; the second one's turn comes
/// after the first.
Json twoSteps()
{
    Json job = smallJob(smallCpu);
    Json second = job["steps"][0];
    second["after"] = Json::array({0});
    job["steps"].push_back(std::move(second));
    return job;
}

/// Kills the process that last renewed a lease in the store, and starts it
/// again.
void killHolder(Fleet &fleet)
{
    const int holder = fleet.store().keeper();
    fleet.record().write("edge-" + std::to_string(holder + 1)
                         + " is killed, and starts again after 0.5 s");
    fleet.instance(static_cast<std::size_t>(holder)).kill();
    sleepMs(500);
    fleet.restartInstance(static_cast<std::size_t>(holder));
}

} // namespace

/// A worker crashes and comes back under another id; then the holder is killed
/// three times.
int holdersKilled(Record &record, bool hasTrouble)
{
    constexpr std::int64_t gapMs = 5100;
    constexpr std::int64_t awayMs = 1000;
    Fleet fleet(record, 3, Json::array({route("merge", 2, 4.0, 3000, 3)}));
    const WorkerKind kind {64'000, 262'144, 0, {"a", "r1-0"}};
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a940" + std::to_string(i), kind);
    if (!start(fleet) || !submitFiller(fleet))
        return 2;
    sleepMs(1000);
    if (!fleet.submit("merge", small, twoSteps()))
        return 2;
    const std::int64_t trafficEnd = nowMs();
    if (hasTrouble) {
        fleet.workers().front()->crash();
        sleepMs(awayMs);
        fleet.addWorker("i-7f3a9409", kind);
        for (int i = 0; i < 3; ++i) {
            killHolder(fleet);
            sleepMs(gapMs);
        }
    }
    return judge(fleet, {"merge", small, smallCpu, {}, 1}, trafficEnd, lookMs);
}

} // namespace review
