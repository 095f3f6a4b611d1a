#include "Support/TestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace caraway::tests {

/// What becomes of jobs when workers and holders fail: real processes, one zone, short leases.
class JobsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobsTest);
    CPPUNIT_TEST(start_inSocketOfStoppedWorker_neverRunsTwice);
    CPPUNIT_TEST_SUITE_END();

    TestFleet fleet_ {FleetShape {.zones = {"klang-a"}, .timing = "task_lease_ms = 2000"}};

    static nlohmann::json runFor(int ms)
    {
        return {{"payload", nlohmann::json({{"run_ms", ms}}).dump()}};
    }

    /// The worker that the first job of an idle fleet is placed on.
    int findPreferredWorker() const
    {
        const HttpAnswer answer = fleet_.run(0, TestFleet::makeJob("probe"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body.dump(), 200, answer.status);
        return answer.body["answers"][0]["worker"] == fleet_.workerName(0) ? 0 : 1;
    }

    void assertNoViolations() const
    {
        for (const std::string &violation : fleet_.violations())
            CPPUNIT_FAIL(violation);
    }

public:
    void setUp() override { fleet_.start(); }

    void start_inSocketOfStoppedWorker_neverRunsTwice()
    {
        const int preferred = findPreferredWorker();
        fleet_.worker(preferred).signal(SIGSTOP);
        auto answer = std::async(std::launch::async, [this] {
            return fleet_.run(0, TestFleet::makeJob("delayed", runFor(4000)), 20'000);
        });
        CPPUNIT_ASSERT(TestFleet::eventually([this] { return fleet_.startsOf("delayed") == 1; }));
        // The start that waits in the stopped worker's socket is handled now.
        fleet_.worker(preferred).signal(SIGCONT);
        const HttpAnswer done = answer.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.body.dump(), 200, done.status);
        CPPUNIT_ASSERT_EQUAL(1, fleet_.startsOf("delayed"));
        assertNoViolations();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobsTest);

} // namespace caraway::tests
