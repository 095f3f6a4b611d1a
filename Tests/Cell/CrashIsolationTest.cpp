#include "Cell/CellSimulation.h"
#include "Cell/CrashHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Tasks of many jobs under which workers have crashed start beside each other.
class CrashIsolationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashIsolationTest);
    CPPUNIT_TEST(soundJobs_afterTwoPowerCuts_startAgainInTime);
    CPPUNIT_TEST(task_withCrashes_isGivenUpWithinTheBudget);
    CPPUNIT_TEST(longRunningTask_whoseWorkersReturnAfterTheirLease_isStartedWithinTheBudget);
    CPPUNIT_TEST(holder_pausedWhileAStartIsRecorded_sendsItOnlyWhenConfirmed);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundJobs_afterTwoPowerCuts_startAgainInTime()
    {
        constexpr std::size_t workers = 8;
        constexpr std::size_t jobs = 32;
        CellSimulation simulation(3, workers);
        simulation.plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(20'000), CompletionReason::Succeeded};
        };
        simulation.advanceUntil([&] { return simulation.holder().has_value(); },
                                Milliseconds(20'000));
        simulation.advance(Milliseconds(1000));
        for (std::size_t i = 0; i < jobs; ++i)
            simulation.submitAndWait(0, CellSimulation::job("sound" + std::to_string(i)));
        const auto running = [&] {
            std::size_t count = 0;
            for (std::size_t i = 0; i < workers; ++i)
                count += simulation.worker(i).running().size();
            return count;
        };
        for (int cut = 1; cut <= 2; ++cut) {
            CPPUNIT_ASSERT(simulation.advanceUntil([&] { return running() == jobs; },
                                                   Milliseconds(20'000)));
            simulation.advance(Milliseconds(1000));
            for (std::size_t i = 0; i < workers; ++i)
                simulation.worker(i).crash(simulation.now());
        }
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return running() > 0; }, Milliseconds(20'000)));
        simulation.advance(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(jobs, running());
    }

    void task_withCrashes_isGivenUpWithinTheBudget()
    {
        CrashHistory crashes;
        std::size_t count = 0;
        while (!crashes.shouldGiveUp()) {
            const WorkerCrash crash {WorkerId("worker-" + std::to_string(count)),
                                     WorkerIncarnation(1)};
            crashes.add(crash);
            ++count;
        }
        // After three crashes a task may be started twice more.
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t(5), count);
    }

    void longRunningTask_whoseWorkersReturnAfterTheirLease_isStartedWithinTheBudget()
    {
        constexpr std::size_t workers = 8;
        CellSimulation simulation(3, workers);
        simulation.plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(600'000), CompletionReason::Succeeded,
                                             Milliseconds(200)};
        };
        for (std::size_t i = 0; i < workers; ++i)
            simulation.worker(i).downtime = Milliseconds(9000);
        simulation.advanceUntil([&] { return simulation.holder().has_value(); },
                                Milliseconds(20'000));
        simulation.advance(Milliseconds(1000));
        JobSpec job = CellSimulation::job("bad");
        job.steps.front().longRunning = true;
        simulation.submitAndWait(0, job);
        simulation.advance(Milliseconds(120'000));
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t(5), simulation.starts().size());
    }

    void holder_pausedWhileAStartIsRecorded_sendsItOnlyWhenConfirmed()
    {
        CellSimulation simulation(3, 4);
        bool isFirst = true;
        simulation.plan = [&](const TaskKey &, RunNumber) {
            const bool crashes = std::exchange(isFirst, false);
            return SimulatedWorker::RunPlan {Milliseconds(60'000), CompletionReason::Succeeded,
                                             crashes ? std::optional(Milliseconds(200))
                                                     : std::nullopt};
        };
        simulation.advanceUntil([&] { return simulation.holder().has_value(); },
                                Milliseconds(20'000));
        simulation.advance(Milliseconds(1000));
        const std::size_t first = *simulation.holder();
        const InstanceId firstId("entry-" + std::to_string(first));
        bool isStartInCommit = false;
        simulation.storeReplyDelay = [&](const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            if (!commit)
                return Milliseconds();
            for (const StoreWrite &write : commit->writes) {
                const auto *progress = std::get_if<JobProgress>(&write.value);
                if (progress && !progress->steps.empty() && !progress->steps.front().starts.empty())
                    isStartInCommit = true;
            }
            return isStartInCommit ? Milliseconds(20) : Milliseconds();
        };
        simulation.submitAndWait(first, CellSimulation::job("a"));
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return isStartInCommit; }, Milliseconds(20'000)));
        simulation.pause(first);
        // The next holder cannot read the workers that the first one can reach, but for one.
        simulation.workerDelivery = [&](const InstanceId &from, const WorkerRequest &request) {
            const bool isCut = from != firstId && request.worker != WorkerId("worker-3");
            return isCut ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return simulation.starts().size() == 2; },
                                               Milliseconds(40'000)));
        simulation.resume(first);
        simulation.advance(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation.overlaps());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), simulation.starts().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashIsolationTest);

} // namespace caraway::tests
