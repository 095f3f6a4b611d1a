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
    CPPUNIT_TEST_SUITE_END();

    static constexpr int workers = 12;
    static constexpr int callerCount = 16;
    static constexpr std::int64_t loadMs = 3000;
    static constexpr std::int64_t maxHighWaitMs = 200;

    static void setHung(const TestFleet &fleet, int worker, bool hung)
    {
        fleet.setFaults("worker-" + fleet.workerName(worker),
                        {{"hold_forward", hung}, {"hold_back", hung}});
    }

    /// Submits from several threads while \a hungCount workers hang; the waits of the jobs
    /// that healthy workers ran.
    static Waits measure(int hungCount, const std::string &limits)
    {
        TestFleet fleet({.zones = {"klang-a"},
                         .entries = 1,
                         .workersPerZone = workers,
                         .timing = "[limits]\n" + limits});
        fleet.start();
        for (int worker = 0; worker < hungCount; ++worker)
            setHung(fleet, worker, true);
        std::mutex mutex;
        std::vector<std::int64_t> waits;
        std::vector<std::jthread> callers;
        callers.reserve(callerCount);
        const auto end = SteadyClock::now() + std::chrono::milliseconds(loadMs);
        for (int caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, caller] {
                for (int i = 0; SteadyClock::now() < end; ++i) {
                    const std::string name = fmt::format("job-{}-{}", caller, i);
                    const HttpAnswer answer = fleet.run(0, TestFleet::makeJob(name), 1500);
                    if (answer.status != 200 || answer.body.value("state", "") != "done")
                        continue;
                    const std::lock_guard lock(mutex);
                    waits.push_back(answer.body["waited_ms"].get<std::int64_t>());
                }
            });
        }
        callers.clear();
        const std::vector<std::string> violations = fleet.violations();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), std::size_t(0),
                                     violations.size());
        return summarise(std::move(waits));
    }

public:
    void run_besideHungWorkers_startsAtOnceWithBreaker()
    {
        const std::pair<int, int> cases[] = {{0, 8}, {1, 8}, {4, 8}, {4, 4}};
        for (const auto &[hung, threads] : cases) {
            for (const int failures : {0, 2}) {
                const Waits waits
                        = measure(hung,
                                  fmt::format("upstream_threads = {}\nbreaker_failures = {}\n",
                                              threads, failures));
                fmt::print("\n{} of {} hung, {} threads, breaker after {}: wait median {} ms, "
                           "99% {} ms, longest {} ms, {} jobs",
                           hung, workers, threads, failures, waits.median, waits.high,
                           waits.longest, waits.count);
                std::fflush(stdout);
                CPPUNIT_ASSERT(waits.count > 0);
                CPPUNIT_ASSERT(failures == 0 || waits.high < maxHighWaitMs);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);

} // namespace caraway::tests
