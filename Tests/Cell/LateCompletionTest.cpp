#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Runs that succeeded on a worker that was cut off, and that it lists after its lease has expired.
class LateCompletionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateCompletionTest);
    CPPUNIT_TEST(success_listedWhileTheTaskRunsElsewhere_completesTheJob);
    CPPUNIT_TEST(success_ofAGangListedWhileItRunsElsewhere_completesTheJob);
    CPPUNIT_TEST(failure_listedWhileTheTaskRunsElsewhere_leavesItsRunAlone);
    CPPUNIT_TEST(success_listedBeforeATakeover_startsNothingElse);
    CPPUNIT_TEST(success_listedDuringALongStopAndATakeover_startsNothingElse);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        simulation_->plan = [this](const TaskKey &, RunNumber) {
            const bool isFirst = simulation_->starts().size() < firstStarts_;
            return SimulatedWorker::RunPlan {Milliseconds(isFirst ? 1500 : 60'000),
                                             isFirst ? firstEnd_ : CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(2000));
    }

    /// Guards against work that is done and thrown away, and a job that waits for it again.
    void success_listedWhileTheTaskRunsElsewhere_completesTheJob()
    {
        runElsewhere(CellSimulation::job("a"));
        reconnect();
        CPPUNIT_ASSERT(stateOfJob() == JobState::Completed);
        CPPUNIT_ASSERT(isNothingRunning());
    }

    void success_ofAGangListedWhileItRunsElsewhere_completesTheJob()
    {
        JobSpec gang = CellSimulation::job("a", 2);
        gang.steps.front().gang = true;
        firstStarts_ = 2;
        runElsewhere(gang);
        reconnect();
        CPPUNIT_ASSERT(stateOfJob() == JobState::Completed);
        CPPUNIT_ASSERT(isNothingRunning());
    }

    void failure_listedWhileTheTaskRunsElsewhere_leavesItsRunAlone()
    {
        firstEnd_ = CompletionReason::Failed;
        runElsewhere(CellSimulation::job("a"));
        reconnect();
        CPPUNIT_ASSERT(stateOfJob() == JobState::Running);
        CPPUNIT_ASSERT(!isNothingRunning());
    }

    /// Guards against a start by the next holder, of a task whose success the former one has read.
    void success_listedBeforeATakeover_startsNothingElse() { replaceHolderAfterSuccess({}); }
    void success_listedDuringALongStopAndATakeover_startsNothingElse()
    {
        replaceHolderAfterSuccess(Milliseconds(900));
    }

private:
    static constexpr Milliseconds longWait {20'000};
    static constexpr std::int64_t takeoverInterval = 20;
    static constexpr std::int64_t latestTakeover = 1600;

    /// The holder is killed at each time from the first list with the success on.
    void replaceHolderAfterSuccess(Milliseconds stopDuration)
    {
        for (std::int64_t delay = 0; delay <= latestTakeover; delay += takeoverInterval) {
            cutOff_.clear();
            setUp();
            for (std::size_t i = 0; i < 4; ++i)
                simulation_->worker(i).stopDuration = stopDuration;
            runElsewhere(CellSimulation::job("a"));
            simulation_->workerDelivery = nullptr;
            simulation_->advance(Milliseconds(delay));
            const std::size_t holder = *simulation_->holder();
            simulation_->kill(holder);
            simulation_->advance(Milliseconds(100));
            simulation_->restart(holder);
            CPPUNIT_ASSERT(simulation_->advanceUntil(
                    [&] { return stateOfJob() == JobState::Completed && isNothingRunning(); },
                    longWait));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), simulation_->startsOf(JobId("a")));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        }
    }

    /// The workers of the first runs are cut off, and the job runs on others after their lease.
    void runElsewhere(const JobSpec &job)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().size() == firstStarts_; }, longWait));
        simulation_->advance(Milliseconds(500));
        for (const CellSimulation::ObservedRun &run : simulation_->starts())
            cutOff_.insert(run.worker);
        simulation_->workerDelivery = [this](const InstanceId &, const WorkerRequest &request) {
            return cutOff_.contains(request.worker) ? CellSimulation::Delivery::Lost
                                                    : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().size() == 2 * firstStarts_; }, longWait));
        simulation_->advance(Milliseconds(500));
    }
    void reconnect()
    {
        simulation_->workerDelivery = nullptr;
        simulation_->advance(Milliseconds(3000));
    }
    std::optional<JobState> stateOfJob() { return simulation_->stateOf(0, JobId("a")); }
    bool isNothingRunning() const
    {
        for (std::size_t i = 0; i < 4; ++i) {
            if (!simulation_->worker(i).running().empty())
                return false;
        }
        return true;
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t firstStarts_ = 1;
    CompletionReason firstEnd_ = CompletionReason::Succeeded;
    std::set<WorkerId> cutOff_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCompletionTest);

} // namespace caraway::tests
