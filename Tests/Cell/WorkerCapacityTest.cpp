#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace caraway::tests {

using namespace cell;

/// Workers whose capacity shrinks and grows while they run. Jobs whose name begins with "long" run
/// for four seconds, others for half a second; each task needs one processor.
class WorkerCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerCapacityTest);
    CPPUNIT_TEST(worker_shrinkingUnderRuns_receivesNoStartUntilTheyFit);
    CPPUNIT_TEST(worker_shrinkingWhileRunsAreStopped_receivesNoStartUntilTheyHaveEnded);
    CPPUNIT_TEST(worker_shrunkBelowItsRuns_othersReceiveStarts);
    CPPUNIT_TEST(workers_shrunkBelowTheirRuns_approvalsForOthersAreRequested);
    CPPUNIT_TEST(worker_shrunkBelowItsRuns_receivesNoTaskThatNeedsNoProcessors);
    CPPUNIT_TEST(worker_shrunkBelowItsRuns_receivesNoGangMemberWithoutAccelerators);
    CPPUNIT_TEST(worker_growingAgain_isUsedAtOnce);
    CPPUNIT_TEST(worker_withoutCapacity_isUsedWhenItGrowsAgain);
    CPPUNIT_TEST(gang_withReservationsOnShrunkWorkers_startsOnTheOthers);
    CPPUNIT_TEST(gang_exceedingTheShrunkWorkers_doesNotHoldOthersUp);
    CPPUNIT_TEST(step_fittingNoShrunkWorker_waitsAndDoesNotHoldOthersUp);
    CPPUNIT_TEST(step_fittingNoShrunkWorker_doesNotHoldApprovalsOfOthersUp);
    CPPUNIT_TEST(urgentWork_whileWorkersAreShrunk_startsWithoutDelay);
    CPPUNIT_TEST(holder_changingWhileAWorkerIsShrunk_startsNothingThereUntilItFits);
    CPPUNIT_TEST(holder_changingBesideTasksThatFillIdleTime_usesTheProcessors);
    CPPUNIT_TEST(tasksThatFillIdleTime_whileAllProcessorsAreUsed_areApprovedAndStarted);
    CPPUNIT_TEST(workerEntry_inAListThatArrivesLate_doesNotReplaceANewerOne);
    CPPUNIT_TEST(workerEntry_inAWatchReplyThatArrivesLate_doesNotReplaceANewerOne);
    CPPUNIT_TEST(workerEntry_inAWatchReplyAfterItsRemoval_isIgnored);
    CPPUNIT_TEST(workerEntry_malformedForAWhile_olderCapacityIsNotUsed);
    CPPUNIT_TEST(worker_restartedWithLessCapacity_receivesNoStartBeforeItsEntry);
    CPPUNIT_TEST(workerEntry_withoutAStartTime_isUsed);
    CPPUNIT_TEST(worker_shrinkingWhileStartsAreLate_isNotOverloadedForLong);
    CPPUNIT_TEST(worker_shrinkingWhileTheHolderIsCutOffFromTheStore_isNotOverloadedForLong);
    CPPUNIT_TEST(worker_shrinkingWhileTheStoreLosesAllReplies_isNotOverloadedForLong);
    CPPUNIT_TEST(workers_shrinkingAndGrowingAtRandom_areNotOverloadedAndAllJobsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { createSimulation(4); }

    void worker_shrinkingUnderRuns_receivesNoStartUntilTheyFit()
    {
        submit("long", 32);
        waitForStarts("long", 32);
        shrink(0, 3);
        submit("b", 64);
        CPPUNIT_ASSERT(completes("long"));
        CPPUNIT_ASSERT(completes("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), startsOf("long"));
        assertNoOverloads();
    }

    void worker_shrinkingWhileRunsAreStopped_receivesNoStartUntilTheyHaveEnded()
    {
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->worker(i).stopDuration = Milliseconds(900);
        submit("long", 32);
        waitForStarts("long", 32);
        simulation_->cancel(0, JobId("long"));
        shrink(0, 6);
        shrink(1, 2);
        submit("b", 64);
        CPPUNIT_ASSERT(completes("b"));
        assertNoOverloads();
    }

    void worker_shrunkBelowItsRuns_othersReceiveStarts()
    {
        submit("long", 8);
        waitForStarts("long", 8);
        for (std::size_t i = 0; i < 3; ++i)
            shrink(i, 0);
        simulation_->advance(entryDelay);
        submit("b", 4);
        waitForStarts("b", 4);
        assertNoOverloads();
    }

    /// A negative amount of free processors was taken from that of other workers.
    void workers_shrunkBelowTheirRuns_approvalsForOthersAreRequested()
    {
        useApprovals();
        simulation_->approves = [this](const StepKey &step, const WorkerId &worker) {
            return step.job != JobId("long") || worker != idOf(3);
        };
        submit("long", 24);
        waitForStarts("long", 24);
        for (std::size_t i = 0; i < 3; ++i)
            shrink(i, 0);
        simulation_->advance(entryDelay);
        submit("b", 4);
        waitForStarts("b", 4);
        assertNoOverloads();
    }

    void worker_shrunkBelowItsRuns_receivesNoTaskThatNeedsNoProcessors()
    {
        submit("long", 32);
        waitForStarts("long", 32);
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 6);
        simulation_->advance(entryDelay);
        JobSpec filling = CellSimulation::job("filling", 4);
        filling.steps.front().fillsIdleTime = true;
        simulation_->submitAndWait(0, filling);
        CPPUNIT_ASSERT(completes("filling"));
        assertNoOverloads();
    }

    void worker_shrunkBelowItsRuns_receivesNoGangMemberWithoutAccelerators()
    {
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->changeCapacity(i, accelerated(2));
        simulation_->advance(entryDelay);
        JobSpec accelerating = CellSimulation::job("long", 8);
        accelerating.steps.front().need.accelerators = Accelerators(1);
        simulation_->submitAndWait(0, accelerating);
        waitForStarts("long", 8);
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->changeCapacity(i, accelerated(1));
        simulation_->advance(entryDelay);
        submitGang("gang", 8);
        CPPUNIT_ASSERT(completes("gang"));
        assertNoOverloads();
    }

    void worker_growingAgain_isUsedAtOnce()
    {
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 2);
        simulation_->advance(entryDelay);
        submit("long", 32);
        waitForStarts("long", 8);
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), startsOf("long"));
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 8);
        simulation_->advance(entryDelay);
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), startsOf("long"));
        assertNoOverloads();
    }

    void worker_withoutCapacity_isUsedWhenItGrowsAgain()
    {
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->changeCapacity(i, Resources());
        simulation_->advance(entryDelay);
        submit("b", 8);
        submitGang("gang", 8);
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT(simulation_->starts().empty());
        CPPUNIT_ASSERT(stateOf("b") == JobState::Pending && stateOf("gang") == JobState::Pending);
        shrink(2, 8);
        CPPUNIT_ASSERT(completes("b") && completes("gang"));
    }

    void gang_withReservationsOnShrunkWorkers_startsOnTheOthers()
    {
        submit("long", 32);
        waitForStarts("long", 32);
        submitGang("gang", 12);
        simulation_->advance(Milliseconds(300));
        shrink(0, 2);
        shrink(1, 2);
        submit("b", 64);
        CPPUNIT_ASSERT(completes("gang"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), startsOf("gang"));
        CPPUNIT_ASSERT(completes("b"));
        assertNoOverloads();
    }

    /// All capacity was reserved for a gang that could not start.
    void gang_exceedingTheShrunkWorkers_doesNotHoldOthersUp()
    {
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 4);
        simulation_->advance(entryDelay);
        submitGang("long-gang", 20);
        simulation_->advance(Milliseconds(300));
        submit("b", 8);
        waitForStarts("b", 8);
        CPPUNIT_ASSERT(stateOf("long-gang") == JobState::Pending);
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 8);
        simulation_->advance(entryDelay + passDelay);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), startsOf("long-gang"));
        CPPUNIT_ASSERT(completes("long-gang"));
        assertNoOverloads();
    }

    void step_fittingNoShrunkWorker_waitsAndDoesNotHoldOthersUp() { assertLargeStepWaits(); }

    /// The processors that such a step needs were counted as used when others need approvals.
    void step_fittingNoShrunkWorker_doesNotHoldApprovalsOfOthersUp()
    {
        useApprovals();
        assertLargeStepWaits();
    }

    void urgentWork_whileWorkersAreShrunk_startsWithoutDelay()
    {
        Queue patient = simulation_->configuration.queues.front();
        patient.id = QueueId("patient");
        patient.host = "patient";
        patient.priority = 2;
        simulation_->configuration.queues.push_back(patient);
        simulation_->configuration.version = ConfigurationVersion(2);
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(500));
        simulation_->submitAndWait(0, CellSimulation::job("long", 100), "patient");
        std::map<JobId, TimePoint> submittedAt;
        for (int i = 0; i < 120; ++i) {
            const JobSpec urgent = CellSimulation::job("urgent-" + std::to_string(i));
            submittedAt[urgent.id] = simulation_->now();
            simulation_->submit(0, urgent);
            simulation_->advance(Milliseconds(100));
            if (i == 50) {
                shrink(0, 1);
                shrink(1, 2);
            }
        }
        simulation_->advance(Milliseconds(500));
        // The runs that were there when the workers shrank have ended after four seconds.
        for (int i = 100; i < 120; ++i) {
            const JobId id("urgent-" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(id));
            for (const CellSimulation::ObservedRun &row : simulation_->starts()) {
                if (row.task.job == id)
                    CPPUNIT_ASSERT(row.startedAt - submittedAt[id] < Milliseconds(500));
            }
        }
        assertNoOverloads();
    }

    void holder_changingWhileAWorkerIsShrunk_startsNothingThereUntilItFits()
    {
        submit("long", 32);
        waitForStarts("long", 32);
        shrink(0, 2);
        shrink(1, 5);
        simulation_->advance(Milliseconds(100));
        replaceHolder();
        simulation_->advance(restartDelay);
        submit("b", 64);
        CPPUNIT_ASSERT(completes("long"));
        CPPUNIT_ASSERT(completes("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), startsOf("long"));
        assertNoOverloads();
    }

    /// The new holder counted the processors of the tasks that it found on the workers.
    void holder_changingBesideTasksThatFillIdleTime_usesTheProcessors()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(15'000), CompletionReason::Succeeded};
        };
        JobSpec filling = CellSimulation::job("filling", 32);
        filling.steps.front().fillsIdleTime = true;
        simulation_->submitAndWait(0, filling);
        waitForStarts("filling", 32);
        replaceHolder();
        simulation_->advance(Milliseconds(500));
        submit("b", 32);
        waitForStarts("b", 32);
        CPPUNIT_ASSERT(completes("filling"));
        assertNoOverloads();
    }

    /// No approval was requested, as no processors were free.
    void tasksThatFillIdleTime_whileAllProcessorsAreUsed_areApprovedAndStarted()
    {
        useApprovals();
        submit("long", 32);
        waitForStarts("long", 32);
        JobSpec filling = CellSimulation::job("filling", 8);
        filling.steps.front().fillsIdleTime = true;
        simulation_->submitAndWait(0, filling);
        waitForStarts("filling", 8);
        assertNoOverloads();
    }

    void workerEntry_inAListThatArrivesLate_doesNotReplaceANewerOne()
    {
        delayWorkers<StoreList>(Milliseconds(900));
        assertShrinksAreFollowed();
    }

    void workerEntry_inAWatchReplyThatArrivesLate_doesNotReplaceANewerOne()
    {
        delayWorkers<StoreWatch>(Milliseconds(1800));
        assertShrinksAreFollowed(Milliseconds(1500));
    }

    /// An older version in a reply that overtook the list without the entry made the worker usable.
    void workerEntry_inAWatchReplyAfterItsRemoval_isIgnored()
    {
        delayWorkers<StoreWatch>(Milliseconds(2500));
        simulation_->advance(Milliseconds(10'000));
        shrink(0, 7);
        simulation_->advance(Milliseconds(50));
        simulation_->store().remove({RecordType::Workers, idOf(0).value()});
        simulation_->advance(Milliseconds(1500));
        submit("long", 32);
        simulation_->advance(Milliseconds(5000));
        for (const CellSimulation::ObservedRun &row : simulation_->starts())
            CPPUNIT_ASSERT(row.worker != idOf(0));
    }

    void workerEntry_malformedForAWhile_olderCapacityIsNotUsed()
    {
        submit("long", 64);
        waitForStarts("long", 32);
        simulation_->store().put({RecordType::Workers, idOf(0).value()}, Malformed {"odd"});
        simulation_->advance(Milliseconds(2000));
        shrink(0, 3);
        CPPUNIT_ASSERT(completes("long"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), startsOf("long"));
        assertNoOverloads();
    }

    /// The entry of the earlier incarnation was used until that of the new one arrived.
    void worker_restartedWithLessCapacity_receivesNoStartBeforeItsEntry()
    {
        submit("long", 32);
        waitForStarts("long", 32);
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->restartWorker(i, processors(3), Milliseconds(2500));
        simulation_->advance(Milliseconds(2400));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
        CPPUNIT_ASSERT(completes("long"));
        assertNoOverloads();
    }

    void workerEntry_withoutAStartTime_isUsed()
    {
        for (std::size_t i = 0; i < 4; ++i) {
            WorkerEntry entry = simulation_->worker(i).entry;
            entry.incarnation = WorkerIncarnation();
            simulation_->store().put({RecordType::Workers, entry.id.value()}, entry);
        }
        simulation_->advance(Milliseconds(2000));
        submit("a", 4);
        waitForStarts("a", 4);
    }

    void worker_shrinkingWhileStartsAreLate_isNotOverloadedForLong()
    {
        simulation_->workerDelay = [](const WorkerRequest &request) {
            return Milliseconds(std::holds_alternative<WorkerStart>(request.command) ? 2400 : 0);
        };
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &request) {
            return std::holds_alternative<WorkerStop>(request.command)
                    ? CellSimulation::Delivery::Lost
                    : CellSimulation::Delivery::Delivered;
        };
        submit("long", 64);
        simulation_->advance(Milliseconds(500));
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 2);
        simulation_->advance(Milliseconds(4000));
        simulation_->workerDelay = nullptr;
        simulation_->workerDelivery = nullptr;
        CPPUNIT_ASSERT(completes("long"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
    }

    void worker_shrinkingWhileTheHolderIsCutOffFromTheStore_isNotOverloadedForLong()
    {
        loseWatches();
        const InstanceId cutOff("entry-" + std::to_string(*simulation_->holder()));
        submit("long", 200);
        waitForStarts("long", 32);
        simulation_->storeDelivery = [cutOff](const InstanceId &from, const StoreRequest &) {
            return from == cutOff ? CellSimulation::Delivery::Lost
                                  : CellSimulation::Delivery::Delivered;
        };
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 5);
        simulation_->advance(Milliseconds(12'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
    }

    void worker_shrinkingWhileTheStoreLosesAllReplies_isNotOverloadedForLong()
    {
        loseWatches();
        for (int i = 0; i < 100; ++i)
            simulation_->submit(0, CellSimulation::job("b-" + std::to_string(i), 8));
        simulation_->advance(Milliseconds(1000));
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &) {
            return CellSimulation::Delivery::AnswerLost;
        };
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 2);
        simulation_->advance(Milliseconds(9000));
        simulation_->storeDelivery = nullptr;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
    }

    void workers_shrinkingAndGrowingAtRandom_areNotOverloadedAndAllJobsComplete()
    {
        for (unsigned seed = 1; seed <= randomSeeds; ++seed)
            runAtRandom(seed);
    }

private:
    void createSimulation(std::size_t workers)
    {
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isLong = task.job.value().starts_with("long");
            return SimulatedWorker::RunPlan {Milliseconds(isLong ? 4000 : 500),
                                             CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
    }

    void runAtRandom(unsigned seed)
    {
        const std::string name = "seed " + std::to_string(seed);
        createSimulation(6);
        std::mt19937 random(seed);
        const auto below
                = [&](unsigned bound) { return static_cast<std::int64_t>(random() % bound); };
        if (seed % 2 == 0)
            useApprovals();
        std::vector<std::string> jobs;
        for (int i = 0; i < 100; ++i) {
            JobSpec job = CellSimulation::job((below(4) == 0 ? "long-" : "b-") + std::to_string(i),
                                              1 + below(8));
            job.steps.front().gang = below(4) == 0;
            job.steps.front().need.processors = Millicores(500 + 500 * below(4));
            jobs.push_back(job.id.value());
            simulation_->submit(static_cast<std::size_t>(below(3)), job);
            if (below(3) == 0) {
                simulation_->changeCapacity(static_cast<std::size_t>(below(6)),
                                            processors(below(9)), Milliseconds(below(1500)));
            }
            if (i == 50) {
                // The jobs so far are accepted before, and the restarted instance is ready after.
                simulation_->advance(restartDelay);
                replaceHolder();
                simulation_->advance(restartDelay);
            }
            simulation_->advance(Milliseconds(50 + below(200)));
        }
        for (std::size_t i = 0; i < 6; ++i)
            simulation_->changeCapacity(i, processors(8));
        for (const std::string &job : jobs)
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}", name, job), completes(job));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(0), simulation_->overloads());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(0), simulation_->overlaps());
    }

    void assertLargeStepWaits()
    {
        for (std::size_t i = 0; i < 4; ++i)
            shrink(i, 4);
        simulation_->advance(entryDelay);
        JobSpec large = CellSimulation::job("large", 20);
        large.steps.front().need.processors = Millicores(6000);
        simulation_->submitAndWait(0, large);
        simulation_->advance(Milliseconds(300));
        submit("b", 8);
        waitForStarts("b", 8);
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT(stateOf("large") == JobState::Pending);
        shrink(0, 8);
        CPPUNIT_ASSERT(completes("large"));
        CPPUNIT_ASSERT(stateOf("b") == JobState::Completed);
        assertNoOverloads();
    }

    /// Shrinks and restores all workers in turn, each \a interval, beside more work than fits.
    void assertShrinksAreFollowed(Milliseconds interval = Milliseconds(400))
    {
        submit("long", 64);
        submit("b", 300);
        for (int round = 0; round < 20; ++round) {
            shrink(static_cast<std::size_t>(round % 4), round % 8 < 4 ? 2 : 8);
            simulation_->advance(interval);
        }
        CPPUNIT_ASSERT(completes("long"));
        CPPUNIT_ASSERT(completes("b"));
        assertNoOverloads();
    }

    template<class Request>
    void delayWorkers(Milliseconds delay)
    {
        simulation_->storeReplyDelay = [delay](const StoreRequest &request) {
            const auto *call = std::get_if<Request>(&request);
            return call && call->type == RecordType::Workers ? delay : Milliseconds();
        };
    }

    /// The holder reads the workers in lists alone, so that nothing that is in flight shows it a
    /// later change.
    void loseWatches()
    {
        delayWorkers<StoreWatch>(Milliseconds(60'000));
        simulation_->advance(Milliseconds(10'000));
    }

    void useApprovals()
    {
        Queue &queue = simulation_->configuration.queues.front();
        queue.approval = ApprovalSettings {Milliseconds(20), 100, Milliseconds(2000)};
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(200));
    }

    void replaceHolder()
    {
        const std::size_t old = *simulation_->holder();
        simulation_->kill(old);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->restart(old);
    }

    void submit(const std::string &id, std::int64_t tasks)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job(id, tasks))
                       == CallerOutcome::Accepted);
    }
    void submitGang(const std::string &id, std::int64_t tasks)
    {
        JobSpec gang = CellSimulation::job(id, tasks);
        gang.steps.front().gang = true;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Accepted);
    }
    /// Waits for \a count starts of a job for which there is capacity.
    void waitForStarts(const std::string &job, std::size_t count)
    {
        simulation_->advanceUntil([&] { return startsOf(job) >= count; }, longestStart);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(job, count, startsOf(job));
    }
    std::size_t startsOf(const std::string &job) const { return simulation_->startsOf(JobId(job)); }
    std::optional<JobState> stateOf(const std::string &job)
    {
        return simulation_->stateOf(0, JobId(job));
    }
    bool completes(const std::string &job)
    {
        return simulation_->advanceUntil([&] { return stateOf(job) == JobState::Completed; },
                                         longWait);
    }
    void assertNoOverloads() const
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->promptOverloads());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
    }

    const WorkerId &idOf(std::size_t worker) { return simulation_->worker(worker).entry.id; }
    static Resources processors(std::int64_t count)
    {
        Resources capacity;
        capacity.processors = Millicores(count * 1000);
        capacity.memory = Bytes(1 << 30);
        return capacity;
    }
    static Resources accelerated(std::int64_t count)
    {
        Resources capacity = processors(8);
        capacity.accelerators = Accelerators(count);
        return capacity;
    }
    /// Sets the worker's processors; its entry shows them at once.
    void shrink(std::size_t worker, std::int64_t count)
    {
        simulation_->changeCapacity(worker, processors(count));
    }

    static constexpr Milliseconds longWait {20'000};
    /// A task for which there is capacity starts within this time, approvals included.
    static constexpr Milliseconds longestStart {1000};
    /// The interval of the holder's watches, and the delays of their calls.
    static constexpr Milliseconds entryDelay {350};
    /// The longest interval of the scheduling passes.
    static constexpr Milliseconds passDelay {130};
    /// An instance is ready again this long after its restart.
    static constexpr Milliseconds restartDelay {1000};
    static constexpr unsigned randomSeeds = 8;
    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerCapacityTest);

} // namespace caraway::tests
