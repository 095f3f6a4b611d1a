#include "Support/TestFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace caraway::tests {

namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

struct Waits
{
    std::int64_t median = 0;
    std::int64_t high = 0;
    std::int64_t longest = 0;
    std::size_t count = 0;
};

Waits summarise(std::vector<std::int64_t> waits)
{
    std::ranges::sort(waits);
    if (waits.empty())
        return {};
    return {waits[waits.size() / 2], waits[waits.size() * 99 / 100], waits.back(), waits.size()};
}

} // namespace

/// Workers that hang, fail or leave beside healthy ones.
class UpstreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamsTest);
    CPPUNIT_TEST(run_besideHungWorkers_startsAtOnceWithBreaker);
    CPPUNIT_TEST(run_besideWorkerThatFailsEverything_isEjected);
    CPPUNIT_TEST(run_workerLeaving_getsNoNewWorkAndEndsItsOwn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int workers = 12;
    static constexpr int callerCount = 16;
    static constexpr std::int64_t loadMs = 5000;
    /// Two calls in a row of 800 ms each open a breaker.
    static constexpr std::int64_t detectionMs = 2000;
    /// Half of what a call to a hung worker takes: no start may wait for such a call. It holds for
    /// every start, since a share of few starts on a busy machine measures the machine.
    static constexpr std::int64_t maxSettledWaitMs = 400;

    static void setHung(const TestFleet &fleet, int worker, bool hung)
    {
        fleet.setFaults("worker-" + fleet.workerName(worker),
                        {{"hold_forward", hung}, {"hold_back", hung}});
    }

    /// Waits while hung workers are being found out, and after that.
    struct Phases
    {
        Waits detection;
        Waits settled;
    };

    /// Submits from several threads while \a hungCount workers hang; the waits of the jobs
    /// that healthy workers ran.
    static Phases measure(int hungCount, const std::string &limits)
    {
        TestFleet fleet({.zones = {"klang-a"},
                         .entries = 1,
                         .workersPerZone = workers,
                         .timing = "[limits]\n" + limits});
        fleet.start();
        for (int worker = 0; worker < hungCount; ++worker)
            setHung(fleet, worker, true);
        std::mutex mutex;
        std::vector<std::int64_t> early;
        std::vector<std::int64_t> late;
        std::vector<std::jthread> callers;
        callers.reserve(callerCount);
        const auto settled = SteadyClock::now() + std::chrono::milliseconds(detectionMs);
        const auto end = SteadyClock::now() + std::chrono::milliseconds(loadMs);
        for (int caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, caller] {
                for (int i = 0; SteadyClock::now() < end; ++i) {
                    const std::string name = fmt::format("job-{}-{}", caller, i);
                    const bool isLate = SteadyClock::now() >= settled;
                    const HttpAnswer answer = fleet.run(0, TestFleet::makeJob(name), 1500);
                    if (answer.status != 200 || answer.body.value("state", "") != "done")
                        continue;
                    const std::lock_guard lock(mutex);
                    (isLate ? late : early).push_back(answer.body["waited_ms"].get<std::int64_t>());
                }
            });
        }
        callers.clear();
        const std::vector<std::string> violations = fleet.violations();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), std::size_t(0),
                                     violations.size());
        return {summarise(std::move(early)), summarise(std::move(late))};
    }

    static std::string stateOf(const TestFleet &fleet, int worker)
    {
        const HttpAnswer rows = fleet.get(0, "/v1/workers");
        for (const nlohmann::json &row : rows.body) {
            if (row.value("worker", "") == fleet.workerName(worker))
                return row.value("state", "");
        }
        return "";
    }

    static int startsOn(const TestFleet &fleet, int worker)
    {
        const std::vector<nlohmann::json> lines = fleet.records();
        return static_cast<int>(std::ranges::count_if(lines, [&](const nlohmann::json &line) {
            return line["what"] == "start" && line["worker"] == fleet.workerName(worker);
        }));
    }

public:
    void run_besideHungWorkers_startsAtOnceWithBreaker()
    {
        const std::pair<int, int> cases[] = {{0, 8}, {1, 8}, {4, 8}, {4, 4}};
        for (const auto &[hung, threads] : cases) {
            for (const int failures : {0, 2}) {
                const Phases phases
                        = measure(hung,
                                  fmt::format("upstream_threads = {}\nbreaker_failures = {}\n",
                                              threads, failures));
                const Waits &waits = phases.settled;
                fmt::print("\n{} of {} hung, {} threads, breaker after {}: settled median {} ms, "
                           "99% {} ms, longest {} ms, {} jobs; longest before {} ms",
                           hung, workers, threads, failures, waits.median, waits.high,
                           waits.longest, waits.count, phases.detection.longest);
                std::fflush(stdout);
                if (failures == 0)
                    continue;
                CPPUNIT_ASSERT(waits.count > 0);
                CPPUNIT_ASSERT(waits.longest < maxSettledWaitMs);
                CPPUNIT_ASSERT(phases.detection.longest < detectionMs);
            }
        }
    }

    void run_besideWorkerThatFailsEverything_isEjected()
    {
        constexpr int jobs = 200;
        constexpr int sixWorkers = 6;
        constexpr int mostFailures = 12;
        TestFleet fleet({.zones = {"klang-a"}, .entries = 1, .workersPerZone = sixWorkers});
        fleet.start();
        fleet.run(0, TestFleet::makeJob("first"));
        // Work is packed onto few workers: the one that got the first job gets more.
        int failing = 0;
        while (startsOn(fleet, failing) == 0)
            ++failing;
        fleet.controlWorker(failing, {{"fail_everything", true}});
        int failed = 0;
        for (int i = 0; i < jobs; i += callerCount) {
            std::vector<std::jthread> callers;
            std::mutex mutex;
            callers.reserve(callerCount);
            for (int caller = 0; caller < callerCount; ++caller) {
                callers.emplace_back([&, name = fmt::format("job-{}-{}", i, caller)] {
                    const nlohmann::json once = {{"idempotent", false}};
                    const HttpAnswer answer = fleet.run(0, TestFleet::makeJob(name, once));
                    const std::lock_guard lock(mutex);
                    failed += answer.body.value("state", "") == "done" ? 0 : 1;
                });
            }
        }
        fmt::print("\n{} of {} jobs failed for good beside a worker that fails everything; "
                   "it started {}",
                   failed, jobs, startsOn(fleet, failing));
        CPPUNIT_ASSERT(failed > 0 && failed <= mostFailures);
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), stateOf(fleet, failing));
        fleet.controlWorker(failing, {{"fail_everything", false}});
        int next = 0;
        const bool isBack = TestFleet::eventually(
                [&] {
                    fleet.run(0, TestFleet::makeJob(fmt::format("later-{}", next++)));
                    return stateOf(fleet, failing) == "open";
                },
                15'000);
        CPPUNIT_ASSERT(isBack);
        CPPUNIT_ASSERT(fleet.violations().empty());
    }

    void run_workerLeaving_getsNoNewWorkAndEndsItsOwn()
    {
        TestFleet fleet({.zones = {"klang-a"}, .entries = 1, .workersPerZone = 2});
        fleet.start();
        const nlohmann::json slow = {{"payload", R"({"run_ms":4000,"answer":"whole"})"}};
        std::vector<std::jthread> callers;
        std::mutex mutex;
        int whole = 0;
        callers.reserve(callerCount);
        for (int caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, name = fmt::format("slow-{}", caller)] {
                const HttpAnswer answer = fleet.run(0, TestFleet::makeJob(name, slow), 15'000);
                const std::lock_guard lock(mutex);
                whole += answer.body.value("state", "") == "done"
                                && answer.body["answers"][0]["content"] == "whole"
                        ? 1
                        : 0;
            });
        }
        const bool areRunning = TestFleet::eventually([&] { return startsOn(fleet, 0) == 8; });
        CPPUNIT_ASSERT(areRunning);
        const auto begin = SteadyClock::now();
        fleet.setWorkerState(0, "leaving");
        CPPUNIT_ASSERT(TestFleet::eventually([&] { return stateOf(fleet, 0) == "closed"; }, 2000));
        const auto took = SteadyClock::now() - begin;
        callers.clear();
        const int before = startsOn(fleet, 0);
        for (int i = 0; i < 20; ++i)
            fleet.run(0, TestFleet::makeJob(fmt::format("after-{}", i)));
        fmt::print("\nleaving worker closed after {} ms; {} of {} answers whole",
                   std::chrono::duration_cast<std::chrono::milliseconds>(took).count(), whole,
                   callerCount);
        CPPUNIT_ASSERT_EQUAL(before, startsOn(fleet, 0));
        CPPUNIT_ASSERT_EQUAL(callerCount, whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);

} // namespace caraway::tests
