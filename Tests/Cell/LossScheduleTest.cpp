#include "Cell/LossSchedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

/// An accepted task that could run does so in time, whatever was lost before.
class LossScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LossScheduleTest);
    CPPUNIT_TEST(tasks_afterLossesOfWorkers_runInTime);
    CPPUNIT_TEST(tasks_afterLossesOfHolders_runInTime);
    CPPUNIT_TEST(tasks_afterLossesOfReplies_runInTime);
    CPPUNIT_TEST(tasks_afterLossesOfAllKinds_runInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasks_afterLossesOfWorkers_runInTime() { play(workerLosses); }
    void tasks_afterLossesOfHolders_runInTime() { play(holderLosses); }
    void tasks_afterLossesOfReplies_runInTime() { play(replyLosses); }
    void tasks_afterLossesOfAllKinds_runInTime()
    {
        std::vector<Loss> all = workerLosses;
        all.insert(all.end(), holderLosses.begin(), holderLosses.end());
        all.insert(all.end(), replyLosses.begin(), replyLosses.end());
        play(all);
    }

private:
    using Loss = LossSchedule::Loss;

    static void play(const std::vector<Loss> &kinds)
    {
        std::string problems;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LossSchedule schedule(seed, kinds);
            const std::string problem = schedule.run();
            if (!problem.empty())
                problems += "seed " + std::to_string(seed) + ": " + problem + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), problems);
    }

    static constexpr std::uint64_t seeds = 10;
    static inline const std::vector<Loss> workerLosses {Loss::WorkerCrash,
                                                        Loss::WorkerLostForGood,
                                                        Loss::WorkerCutOff,
                                                        Loss::WorkerRepliesLost,
                                                        Loss::WorkerRefusingConnections,
                                                        Loss::WorkerUnhealthy,
                                                        Loss::WorkerLeaving,
                                                        Loss::EntryRemoved};
    static inline const std::vector<Loss> holderLosses {
            Loss::HolderKilled, Loss::HolderAndWorkerKilled, Loss::HolderKilledTwice,
            Loss::HolderPaused};
    static inline const std::vector<Loss> replyLosses {Loss::StoreRefusing, Loss::StoreRepliesLost,
                                                       Loss::ApprovalsUnanswered,
                                                       Loss::RepliesDropped};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossScheduleTest);

} // namespace caraway::tests
