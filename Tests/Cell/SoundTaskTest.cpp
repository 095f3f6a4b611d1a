#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Sound tasks whose workers crash several times for other reasons.
class SoundTaskTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(SoundTaskTest);
    CPPUNIT_TEST(task_whoseWorkersCrashFourTimes_completes);
    CPPUNIT_TEST(task_whoseWorkersCrashUnderFourHolders_completes);
    CPPUNIT_TEST(task_whoseStartsWereLostWithFourWorkers_completes);
    CPPUNIT_TEST(gang_whoseWorkersCrashFourTimes_completes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(3000), CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(1000));
    }

    /// Guards against a job that is shown as failed although no run has failed.
    void task_whoseWorkersCrashFourTimes_completes()
    {
        submit(CellSimulation::job("a"));
        for (std::size_t crash = 1; crash <= crashes; ++crash)
            crashWorkersOfRuns(crash);
        assertCompletes();
    }

    void task_whoseWorkersCrashUnderFourHolders_completes()
    {
        submit(CellSimulation::job("a"));
        for (std::size_t crash = 1; crash <= crashes; ++crash) {
            crashWorkersOfRuns(crash);
            replaceHolder();
        }
        assertCompletes();
    }

    /// Guards against starts that never began and count as crashes.
    void task_whoseStartsWereLostWithFourWorkers_completes()
    {
        std::size_t lost = 0;
        std::optional<WorkerId> worker;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            const bool isLost
                    = std::holds_alternative<WorkerStart>(request.command) && lost < crashes;
            if (isLost) {
                ++lost;
                worker = request.worker;
            }
            return isLost || request.worker == worker ? CellSimulation::Delivery::Lost
                                                      : CellSimulation::Delivery::Delivered;
        };
        submit(CellSimulation::job("a"));
        for (std::size_t crash = 1; crash <= crashes; ++crash) {
            CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return worker.has_value(); }, longWait));
            simulation_->advance(Milliseconds(300));
            simulation_->worker(simulation_->indexOf(*worker)).crash(simulation_->now());
            worker.reset();
        }
        assertCompletes();
    }

    void gang_whoseWorkersCrashFourTimes_completes()
    {
        JobSpec gang = CellSimulation::job("a", 4);
        gang.steps.front().gang = true;
        submit(gang);
        for (std::size_t crash = 1; crash <= crashes; ++crash)
            crashWorkersOfRuns(crash);
        assertCompletes();
    }

private:
    static constexpr std::size_t workers = 8;
    static constexpr std::size_t crashes = 4;
    static constexpr Milliseconds longWait {30'000};

    void crashWorkersOfRuns(std::size_t crash)
    {
        const bool hasRuns
                = simulation_->advanceUntil([&] { return !workersWithRuns().empty(); }, longWait);
        CPPUNIT_ASSERT_MESSAGE("no run before crash " + std::to_string(crash), hasRuns);
        simulation_->advance(Milliseconds(1500));
        for (const std::size_t worker : workersWithRuns())
            simulation_->worker(worker).crash(simulation_->now());
    }
    void assertCompletes()
    {
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return isCompleted(JobId("a")); }, longWait));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoundTaskTest);

} // namespace caraway::tests
