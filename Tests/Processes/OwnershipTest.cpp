#include "Support/TestFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace caraway::tests {

namespace {

std::int64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

/// Who starts work on a shard, while its holder dies, pauses or is cut off.
class OwnershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(kill_holder_nextStartsWithinTarget);
    CPPUNIT_TEST(pause_holder_nextStartsWithinTargetAndWokenHolderDoesNot);
    CPPUNIT_TEST(slowStore_holdersGoOn);
    CPPUNIT_TEST(storeOutage_workArrives_noneRefused);
    CPPUNIT_TEST(storeOutage_holderCutOffFromPeers_startsNothing);
    CPPUNIT_TEST(stop_requestsInFlight_allAnsweredAndShardsHandedOver);
    CPPUNIT_TEST(stop_secondSignal_endsAtOnce);
    CPPUNIT_TEST(rest_fleetAtRest_keepsToStoreBudget);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t takeoverTargetMs = 5000;
    TestFleet fleet_;

    /// The wall clock time of the first start of \a job; 0 while there is none.
    std::int64_t firstStartOf(const std::string &job) const
    {
        for (const nlohmann::json &line : fleet_.records()) {
            if (line["what"] == "start" && line["job"] == job)
                return line["at_ms"].get<std::int64_t>();
        }
        return 0;
    }

    /// Waits, so that over many runs the fault comes at every moment between two renewals.
    static void awaitAnyPhaseOfRenewal()
    {
        const std::int64_t delay = 1000 + wallMs() % 700;
        fmt::print(stderr, "[fault after {} ms]", delay);
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    }

    int otherThan(int entry) const { return (entry + 1) % fleet_.shape().entries; }

    /// Names a job whose home is \a zone.
    std::string jobAt(const std::string &zone, const std::string &stem) const
    {
        for (int i = 0;; ++i) {
            std::string name = fmt::format("{}-{}", stem, i);
            if (fleet_.homeOf(name) == zone)
                return name;
        }
    }

    /// Has a job wait at another entry while the holder is gone since \a lostAt.
    std::int64_t measureTakeover(const std::string &job, int lost, std::int64_t lostAt) const
    {
        const HttpAnswer answer
                = fleet_.run(otherThan(lost), TestFleet::makeJob(job), 2 * takeoverTargetMs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body.dump(), 200, answer.status);
        CPPUNIT_ASSERT_EQUAL(1, fleet_.startsOf(job));
        return firstStartOf(job) - lostAt;
    }

public:
    void setUp() override { fleet_.start(); }

    void kill_holder_nextStartsWithinTarget()
    {
        const std::string zone = fleet_.shape().zones[0];
        const int holder = fleet_.holderOf(zone);
        const std::string job = jobAt(zone, "killed");
        awaitAnyPhaseOfRenewal();
        const std::int64_t lostAt = wallMs();
        fleet_.entry(holder).kill();
        const std::int64_t took = measureTakeover(job, holder, lostAt);
        fmt::print(stderr, "[takeover after SIGKILL: {} ms]", took);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(took), took <= takeoverTargetMs);
    }

    void pause_holder_nextStartsWithinTargetAndWokenHolderDoesNot()
    {
        const std::string zone = fleet_.shape().zones[0];
        const int holder = fleet_.holderOf(zone);
        const std::string job = jobAt(zone, "paused");
        const std::string queued = jobAt(zone, "queued");
        awaitAnyPhaseOfRenewal();
        const std::int64_t lostAt = wallMs();
        fleet_.entry(holder).signal(SIGSTOP);
        // These wait in the paused holder's sockets and rings until it wakes.
        std::jthread waiting([&] { fleet_.run(holder, TestFleet::makeJob(queued), 8000); });
        const std::int64_t took = measureTakeover(job, holder, lostAt);
        fmt::print(stderr, "[takeover after SIGSTOP: {} ms]", took);
        fleet_.entry(holder).signal(SIGCONT);
        waiting.join();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(took), took <= takeoverTargetMs);
        CPPUNIT_ASSERT_EQUAL(1, fleet_.startsOf(queued));
        CPPUNIT_ASSERT(fleet_.holderOf(zone) != holder);
        CPPUNIT_ASSERT(fleet_.violations().empty());
    }

    /// Sends small jobs to every entry in turn for \a ms; the answers other than "done".
    std::vector<std::string> runSteadily(const std::string &stem, std::int64_t ms) const
    {
        std::vector<std::string> failures;
        const std::int64_t end = wallMs() + ms;
        for (int i = 0; wallMs() < end; ++i) {
            const HttpAnswer answer = fleet_.run(i % fleet_.shape().entries,
                                                 TestFleet::makeJob(fmt::format("{}-{}", stem, i)));
            if (answer.status != 200)
                failures.push_back(answer.body.dump());
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return failures;
    }

    /// Every shard's holder, which changes with a takeover.
    std::vector<int> holders() const
    {
        std::vector<int> found;
        for (const std::string &zone : fleet_.shape().zones)
            found.push_back(fleet_.holderOf(zone));
        return found;
    }

    void slowStore_holdersGoOn()
    {
        const std::vector<int> before = holders();
        fleet_.controlStore({{"delay_ms", 300}});
        const std::vector<std::string> failures = runSteadily("slow", 8000);
        fleet_.controlStore({{"delay_ms", 0}});
        CPPUNIT_ASSERT_MESSAGE(failures.empty() ? "" : failures.front(), failures.empty());
        CPPUNIT_ASSERT(before == holders());
    }

    void storeOutage_workArrives_noneRefused()
    {
        constexpr std::int64_t outageMs = 12'000;
        const std::vector<int> before = holders();
        fleet_.controlStore({{"outage", true}});
        std::vector<std::string> failures = runSteadily("outage", outageMs);
        fleet_.controlStore({{"outage", false}});
        const std::vector<std::string> later = runSteadily("after", 4000);
        failures.insert(failures.end(), later.begin(), later.end());
        CPPUNIT_ASSERT_MESSAGE(failures.empty() ? "" : failures.front(), failures.empty());
        CPPUNIT_ASSERT(before == holders());
        CPPUNIT_ASSERT(fleet_.violations().empty());
    }

    void storeOutage_holderCutOffFromPeers_startsNothing()
    {
        const std::string zone = fleet_.shape().zones[0];
        const int holder = fleet_.holderOf(zone);
        const std::string job = jobAt(zone, "cut-off");
        fleet_.controlStore({{"outage", true}});
        fleet_.setFaults("peer-" + fleet_.entryName(holder), {{"cut", true}});
        std::this_thread::sleep_for(std::chrono::seconds(4));
        fleet_.run(holder, TestFleet::makeJob(job), 2000);
        CPPUNIT_ASSERT_EQUAL(0, fleet_.startsOf(job));
        fleet_.controlStore({{"outage", false}});
        fleet_.setFaults("peer-" + fleet_.entryName(holder), {{"cut", false}});
        CPPUNIT_ASSERT(TestFleet::eventually(
                [&] { return fleet_.run(holder, TestFleet::makeJob(job), 2000).status == 200; }));
        CPPUNIT_ASSERT_EQUAL(1, fleet_.startsOf(job));
    }

    void stop_requestsInFlight_allAnsweredAndShardsHandedOver()
    {
        constexpr int perEntry = 6;
        constexpr int stopLimitMs = 8000;
        const std::string zone = fleet_.shape().zones[0];
        const int holder = fleet_.holderOf(zone);
        std::atomic<int> done = 0;
        std::vector<std::jthread> callers;
        const int callerCount = perEntry * fleet_.shape().entries;
        callers.reserve(callerCount);
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, i, &done] {
                const nlohmann::json payload = {{"run_ms", 1000 + 100 * (i % perEntry)}};
                const nlohmann::json job = TestFleet::makeJob(fmt::format("flight-{}", i),
                                                              {{"payload", payload.dump()}});
                const HttpAnswer answer = fleet_.run(i % fleet_.shape().entries, job);
                if (answer.status == 200)
                    ++done;
                else
                    fmt::print(stderr, "[{} {}]", answer.status, answer.body.dump());
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        const std::int64_t stoppedAt = wallMs();
        fleet_.entry(holder).signal(SIGTERM);
        const std::string job = jobAt(zone, "handed-over");
        const std::int64_t took = measureTakeover(job, holder, stoppedAt);
        const int exitCode = fleet_.entry(holder).waitForExit(stopLimitMs);
        callers.clear();
        fmt::print(stderr, "[next start after SIGTERM: {} ms]", took);
        CPPUNIT_ASSERT_EQUAL(perEntry * fleet_.shape().entries, done.load());
        CPPUNIT_ASSERT_EQUAL(0, exitCode);
        CPPUNIT_ASSERT(took < 2000);
        for (int i = 0; i < perEntry * fleet_.shape().entries; ++i)
            CPPUNIT_ASSERT_EQUAL(1, fleet_.startsOf(fmt::format("flight-{}", i)));
    }

    void stop_secondSignal_endsAtOnce()
    {
        const nlohmann::json payload = {{"run_ms", 8000}};
        const nlohmann::json job = TestFleet::makeJob("long", {{"payload", payload.dump()}});
        const std::jthread waiting([&] { fleet_.run(0, job); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        fleet_.entry(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(-1, fleet_.entry(0).waitForExit(1500));
        fleet_.entry(0).signal(SIGTERM);
        CPPUNIT_ASSERT(fleet_.entry(0).waitForExit(2000) >= 0);
    }

    void rest_fleetAtRest_keepsToStoreBudget()
    {
        constexpr std::int64_t seconds = 5;
        constexpr std::int64_t readsPerInstance = 5;
        constexpr std::int64_t writesPerShard = 2;
        const nlohmann::json before = fleet_.storeStats();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        const nlohmann::json after = fleet_.storeStats();
        const auto used = [&](const char *kind) {
            return after[kind].get<std::int64_t>() - before[kind].get<std::int64_t>();
        };
        fmt::print(stderr, "[{} reads, {} writes, {} watches in {} s]", used("reads"),
                   used("writes"), used("watches"), seconds);
        CPPUNIT_ASSERT(used("reads") <= readsPerInstance * seconds * fleet_.shape().entries);
        const auto shards = static_cast<std::int64_t>(fleet_.shape().zones.size());
        CPPUNIT_ASSERT(used("writes") <= writesPerShard * seconds * shards);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);

} // namespace caraway::tests
