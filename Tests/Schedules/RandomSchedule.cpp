#include "Schedules/RandomSchedule.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace caraway::tests {

namespace {

constexpr int callerCount = 10;
constexpr int settleMs = 3000;
constexpr int healLimitMs = 25'000;
constexpr int serveLimitMs = 20'000;
constexpr int longestPauseMs = 1500;
constexpr int shortestFaultMs = 300;
constexpr int longestFaultMs = 4000;
constexpr std::size_t mostFaultsAtOnce = 2;

/// Short leases, so that a round sees several of them lapse.
FleetShape shapeOfRound()
{
    FleetShape shape;
    shape.timing = "task_lease_ms = 2500\nworker_heartbeat_ms = 500\nworker_timeout_ms = 800\n";
    return shape;
}

int between(std::mt19937_64 &random, int least, int most)
{
    return least + static_cast<int>(random() % (most - least + 1));
}

void sleepFor(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

RandomSchedule::RandomSchedule(std::uint64_t seed, int loadMs)
    : seed_(seed)
    , loadMs_(loadMs)
    , random_(seed)
    , fleet_(shapeOfRound())
{
}

RoundResult RandomSchedule::run()
{
    fleet_.start();
    FleetAudit audit(fleet_, callers_);
    FaultPlan plan(fleet_, audit);
    loadEndsAt_ = wallMs() + loadMs_;
    bool serves = false;
    {
        std::vector<std::jthread> threads;
        threads.reserve(callerCount);
        for (int caller = 0; caller < callerCount; ++caller)
            threads.emplace_back([this, caller, seed = random_()] { runCaller(seed, caller); });
        runFaults(plan);
        serves = waitUntilServing();
    }
    sleepFor(settleMs);
    RoundResult result {seed_, faults_, callers_.jobCount(), audit.findings()};
    if (!serves)
        result.findings.push_back("the healed fleet did not serve again");
    return result;
}

void RandomSchedule::runFaults(FaultPlan &plan)
{
    struct Active
    {
        Fault fault;
        std::int64_t healAt = 0;
    };
    std::vector<Active> active;
    while (wallMs() < loadEndsAt_ || !active.empty()) {
        if (wallMs() < loadEndsAt_ && active.size() < mostFaultsAtOnce) {
            Fault fault = plan.draw(random_);
            const int lastsMs = between(random_, shortestFaultMs, longestFaultMs);
            const bool isNew = std::ranges::none_of(active, [&](const Active &other) {
                return other.fault.target == fault.target;
            });
            if (isNew) {
                faults_.push_back(fault.name + " for " + std::to_string(lastsMs) + " ms");
                fault.set();
                active.push_back({std::move(fault), wallMs() + lastsMs});
            }
        }
        sleepFor(between(random_, 0, longestPauseMs));
        std::erase_if(active, [](const Active &one) {
            const bool isDue = one.healAt <= wallMs();
            if (isDue)
                one.fault.heal();
            return isDue;
        });
    }
}

void RandomSchedule::runCaller(std::uint64_t seed, int number)
{
    std::mt19937_64 random(seed);
    for (int i = 0; wallMs() < loadEndsAt_; ++i) {
        const std::string name = "s" + std::to_string(number) + "-" + std::to_string(i);
        const PlannedJob job = drawJob(random, name);
        const int entry = between(random, 0, fleet_.shape().entries - 1);
        const bool isDoubled = random() % 8 == 0;
        std::jthread twin;
        if (isDoubled)
            twin = std::jthread([this, entry, job] {
                callers_.runToTheEnd((entry + 1) % fleet_.shape().entries, job, healLimitMs);
            });
        callers_.runToTheEnd(entry, job, healLimitMs);
        sleepFor(between(random, 0, 200));
    }
}

PlannedJob RandomSchedule::drawJob(std::mt19937_64 &random, const std::string &name) const
{
    PlannedJob job;
    job.name = name;
    job.idempotent = random() % 2 == 0;
    job.tasks = random() % 4 == 0 ? between(random, 2, 6) : 1;
    job.gang = job.tasks > 1 && random() % 2 == 0;
    job.runMs = random() % 5 == 0 ? between(random, 500, 3000) : between(random, 5, 200);
    job.cancelAfterMs = random() % 8 == 0 ? between(random, 1, 300) : 0;
    return job;
}

bool RandomSchedule::waitUntilServing()
{
    return TestFleet::eventually([&] { return fleet_.isServing(); }, serveLimitMs);
}

} // namespace caraway::tests
