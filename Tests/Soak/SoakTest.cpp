#include "Soak/SoakRound.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

namespace caraway::tests {

/// Short seeded soaks of real processes; for longer ones: testSoak --seed=N --seconds=N.
class SoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoakTest);
    CPPUNIT_TEST(tasks_withoutTrouble_runOnceAndAreAnswered);
    CPPUNIT_TEST(tasks_whileWorkersRestartAndTheHolderPauses_runOnceAndAreAnswered);
    CPPUNIT_TEST(gangsAndFailingTasks_whileAllLosePower_runOnceAndAreAnswered);
    CPPUNIT_TEST(tasksLongerThanALease_whileWorkersAreCutOff_runOnceAndAreAnswered);
    CPPUNIT_TEST(tasks_whoseEndsAreListedInAnyOrder_runOnceAndAreAnswered);
    CPPUNIT_TEST(tasks_whileTheHolderIsPartitioned_runOnceAndAreAnswered);
    CPPUNIT_TEST(jobs_besideStepsWithOnePermittedWorker_startInTime);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path folder_;

    void runRound(std::uint64_t seed, Milliseconds duration, const std::string &kinds,
                  const SoakLoad &load = {}, int workers = 8, bool areEndsUnordered = false)
    {
        SoakRoundOptions options;
        options.load = load;
        options.fleet.seed = seed;
        options.fleet.workers = workers;
        options.fleet.areEndsUnordered = areEndsUnordered;
        options.fleet.folder = folder_;
        options.duration = duration;
        options.kinds = kinds;
        const SoakRoundResult result = runSoakRound(options);
        CPPUNIT_ASSERT(result.runs > 0);
        CPPUNIT_ASSERT_MESSAGE(result.describe(folder_), result.findings.empty());
        std::filesystem::remove_all(folder_);
    }

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(name.data()) != nullptr);
        folder_ = name;
    }

    void tasks_withoutTrouble_runOnceAndAreAnswered() { runRound(1, Milliseconds(4000), ""); }

    void tasks_whileWorkersRestartAndTheHolderPauses_runOnceAndAreAnswered()
    {
        runRound(15, Milliseconds(15'000), "rrzz");
    }

    /// Guards against sound jobs that are shown as failed after crashes of their workers.
    void gangsAndFailingTasks_whileAllLosePower_runOnceAndAreAnswered()
    {
        runRound(413, Milliseconds(20'000), "okz", {.isMixed = true});
    }

    /// Guards against lapsed runs that count as crashes of their workers.
    void tasksLongerThanALease_whileWorkersAreCutOff_runOnceAndAreAnswered()
    {
        runRound(7, Milliseconds(5000), "x", {.clients = 3, .hasLongRuns = true}, 4);
    }

    /// Guards against ends that are acknowledged unread, so that their tasks start again.
    void tasks_whoseEndsAreListedInAnyOrder_runOnceAndAreAnswered()
    {
        runRound(47, Milliseconds(10'000), "x", {}, 4, true);
    }

    /// Guards against a former holder that starts tasks again which the next one has recorded.
    void tasks_whileTheHolderIsPartitioned_runOnceAndAreAnswered()
    {
        runRound(2001, Milliseconds(18'000), "m", {.clients = 4});
    }

    /// Guards against steps with few permitted workers that stop approvals for others.
    void jobs_besideStepsWithOnePermittedWorker_startInTime()
    {
        runRound(3001, Milliseconds(15'000), "",
                 {.clients = 2, .isMixed = true, .hasNarrowSteps = true});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

} // namespace caraway::tests
