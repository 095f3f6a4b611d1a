#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Sound tasks whose runs expire with the leases of workers that cannot be reached.
class LapsedRunTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(LapsedRunTest);
    CPPUNIT_TEST(task_whoseEntriesAreRemovedBeforeTheLeasesEnd_completes);
    CPPUNIT_TEST(task_whoseEntriesAreRemovedAfterTheLeasesEnd_completes);
    CPPUNIT_TEST(gang_whoseRunsLapseFiveTimes_completes);
    CPPUNIT_TEST(task_whoseRunsLapseUnderFiveHolders_completes);
    CPPUNIT_TEST(task_whoseWorkersNeverReturn_completes);
    CPPUNIT_TEST(crash_ofAWorkerThatReturnsUnderAnotherName_isCounted);
    CPPUNIT_TEST(crash_afterTheWorkerHasReportedThatItOutlivedTheLease_isNotCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        simulation_->workerDelivery = [this](const InstanceId &, const WorkerRequest &request) {
            return cut_.contains(request.worker) ? CellSimulation::Delivery::Lost
                                                 : CellSimulation::Delivery::Delivered;
        };
        // Longer than a lease, until the last cut is over.
        simulation_->plan = [this](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(lapsed_ < lapses ? 60'000 : 2000),
                                             CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(1000));
    }

    /// Guards against a job that is shown as failed although its workers have never crashed.
    void task_whoseEntriesAreRemovedBeforeTheLeasesEnd_completes()
    {
        submit(CellSimulation::job("a"));
        while (lapsed_ < lapses)
            letRunsLapse(Milliseconds(3000));
        assertCompletesWithoutCrash();
    }

    void task_whoseEntriesAreRemovedAfterTheLeasesEnd_completes()
    {
        submit(CellSimulation::job("a"));
        while (lapsed_ < lapses)
            letRunsLapse(Milliseconds(11'000));
        assertCompletesWithoutCrash();
    }

    void gang_whoseRunsLapseFiveTimes_completes()
    {
        JobSpec gang = CellSimulation::job("a", 3);
        gang.steps.front().gang = true;
        submit(gang);
        while (lapsed_ < lapses)
            letRunsLapse(Milliseconds(3000));
        assertCompletesWithoutCrash();
    }

    void task_whoseRunsLapseUnderFiveHolders_completes()
    {
        submit(CellSimulation::job("a"));
        while (lapsed_ < lapses) {
            cutOffWorkersOfRuns();
            simulation_->advance(Milliseconds(3000));
            removeEntries();
            replaceHolder();
            // Until the next holder knows that the workers are gone.
            simulation_->advance(Milliseconds(9000));
            reconnectAfterLapse();
        }
        assertCompletesWithoutCrash();
    }

    void task_whoseWorkersNeverReturn_completes()
    {
        submit(CellSimulation::job("a"));
        for (; lapsed_ < lapses; ++lapsed_) {
            awaitRuns();
            simulation_->removeWorker(*workersWithRuns().begin());
        }
        assertCompletesWithoutCrash();
    }

    void crash_ofAWorkerThatReturnsUnderAnotherName_isCounted()
    {
        simulation_->renamesOnReturn = true;
        submit(CellSimulation::job("a"));
        awaitRuns();
        simulation_->worker(*workersWithRuns().begin()).crash(simulation_->now());
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return countedCrashes() == 1; }, longWait));
    }

    void crash_afterTheWorkerHasReportedThatItOutlivedTheLease_isNotCounted()
    {
        submit(CellSimulation::job("a"));
        cutOffWorkersOfRuns();
        const std::size_t worker = simulation_->indexOf(*cut_.begin());
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return !hasRunsBehindCut(); }, longWait));
        simulation_->advance(Milliseconds(3000));
        SimulatedWorker &silent = simulation_->worker(worker);
        silent.entry.reportedAt = silent.clock(simulation_->now());
        simulation_->publishWorker(worker);
        simulation_->advance(Milliseconds(1000));
        silent.crash(simulation_->now());
        cut_.clear();
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
    }

private:
    static constexpr std::size_t workers = 12;
    static constexpr std::size_t lapses = 5;
    static constexpr Milliseconds longWait {40'000};

    void awaitRuns()
    {
        CPPUNIT_ASSERT_MESSAGE(
                "no run after " + std::to_string(lapsed_) + " lapses",
                simulation_->advanceUntil([&] { return !workersWithRuns().empty(); }, longWait));
        // Until the worker has listed the run.
        simulation_->advance(Milliseconds(1500));
    }
    void cutOffWorkersOfRuns()
    {
        awaitRuns();
        for (const std::size_t worker : workersWithRuns())
            cut_.insert(simulation_->worker(worker).entry.id);
    }
    void removeEntries()
    {
        for (const WorkerId &worker : cut_)
            simulation_->store().remove({RecordType::Workers, worker.value()});
    }
    bool hasRunsBehindCut() const
    {
        return std::any_of(cut_.begin(), cut_.end(), [&](const WorkerId &worker) {
            return !simulation_->worker(simulation_->indexOf(worker)).running().empty();
        });
    }
    void reconnectAfterLapse()
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return !hasRunsBehindCut(); }, longWait));
        simulation_->advance(Milliseconds(2000));
        for (const WorkerId &worker : std::exchange(cut_, {}))
            simulation_->publishWorker(simulation_->indexOf(worker));
        ++lapsed_;
        simulation_->advance(Milliseconds(1000));
    }
    /// The entries of the workers are removed \a removedAfter their cut.
    void letRunsLapse(Milliseconds removedAfter)
    {
        cutOffWorkersOfRuns();
        simulation_->advance(removedAfter);
        removeEntries();
        reconnectAfterLapse();
    }
    void assertCompletesWithoutCrash()
    {
        const bool hasCompleted
                = simulation_->advanceUntil([&] { return isCompleted(JobId("a")); }, longWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
        CPPUNIT_ASSERT(hasCompleted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    std::set<WorkerId> cut_;
    std::size_t lapsed_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LapsedRunTest);

} // namespace caraway::tests
