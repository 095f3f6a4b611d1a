#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Approval requests for a job behind another one whose tasks can't use the free capacity.
class ApprovalDemandTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(ApprovalDemandTest);
    CPPUNIT_TEST(job_behindOneThatIsDeniedEverywhere_starts);
    CPPUNIT_TEST(job_behindOneWhoseOnlyWorkerIsFull_starts);
    CPPUNIT_TEST(job_behindOneWhoseOnlyWorkerIsLost_starts);
    CPPUNIT_TEST(job_behindOneWhoseOnlyWorkerDrains_starts);
    CPPUNIT_TEST(job_behindOneWhoseOnlyWorkerIsKeptForAGang_starts);
    CPPUNIT_TEST(job_behindOneWhoseOnlyWorkerHasASuspect_starts);
    CPPUNIT_TEST(job_behindOneOfALabelWithOneWorker_starts);
    CPPUNIT_TEST(job_behindOneLimitedByMemory_starts);
    CPPUNIT_TEST(job_behindOneLimitedByAccelerators_starts);
    CPPUNIT_TEST(job_behindOneLimitedBySlots_starts);
    CPPUNIT_TEST(job_behindOneLimitedPerWorker_starts);
    CPPUNIT_TEST(job_behindALongRunningOneThatIsDeniedEverywhere_starts);
    CPPUNIT_TEST(job_behindOneThatIsNeverAnswered_starts);
    CPPUNIT_TEST(job_deniedEverywhere_startsOnANewWorkerAtOnce);
    CPPUNIT_TEST(job_behindOneThatUsesAllCapacity_isNotAskedAbout);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        Queue &first = simulation_->configuration.queues.front();
        first.approval = ApprovalSettings {Milliseconds(40), 500, Milliseconds(2500)};
        first.priority = 1;
        first.objective = Milliseconds(20'000);
        Queue later = first;
        later.id = QueueId("later");
        later.host = "later";
        later.priority = 2;
        simulation_->configuration.queues.push_back(later);
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->plan = [this](const TaskKey &task, RunNumber) {
            SimulatedWorker::RunPlan plan {Milliseconds(600'000), CompletionReason::Succeeded, {}};
            if (task.job == JobId("suspect") && crashes_ < crashesBeforeIsolation) {
                ++crashes_;
                plan.crashesAfter = Milliseconds(200);
            }
            return plan;
        };
        simulation_->approves = [this](const StepKey &step, const WorkerId &worker) {
            asked_.insert(step.job);
            const auto permitted = permitted_.find(step.job);
            return permitted == permitted_.end() || permitted->second.contains(worker);
        };
        awaitHolder();
        simulation_->advance(Milliseconds(3000));
    }

    /// Guards against a job that no worker may run and that stops approvals for all others.
    void job_behindOneThatIsDeniedEverywhere_starts()
    {
        permitted_[JobId("first")] = {};
        assertLaterStarts(firstJob());
    }

    void job_behindOneWhoseOnlyWorkerIsFull_starts()
    {
        permitOnlyWorker("first");
        assertLaterStarts(firstJob());
    }

    void job_behindOneWhoseOnlyWorkerIsLost_starts()
    {
        permitOnlyWorker("first");
        simulation_->crashWorker(onlyWorker);
        simulation_->advance(Milliseconds(10'000));
        assertLaterStarts(firstJob());
    }

    void job_behindOneWhoseOnlyWorkerDrains_starts()
    {
        permitOnlyWorker("first");
        simulation_->announceLeaving(onlyWorker, Milliseconds(600'000));
        simulation_->advance(Milliseconds(1000));
        assertLaterStarts(firstJob());
    }

    void job_behindOneWhoseOnlyWorkerIsKeptForAGang_starts()
    {
        // Leaves free processors that are too few for a member of the gang.
        permitOnlyWorker("filler");
        JobSpec filler = CellSimulation::job("filler");
        filler.steps.front().need.processors = Millicores(3000);
        submit(filler);
        permitOnlyWorker("gang");
        JobSpec gang = CellSimulation::job("gang");
        gang.steps.front().gang = true;
        gang.steps.front().need.processors = Millicores(6000);
        submit(gang);
        simulation_->advance(Milliseconds(1000));
        permitOnlyWorker("first");
        assertLaterStarts(firstJob());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("gang")));
    }

    void job_behindOneWhoseOnlyWorkerHasASuspect_starts()
    {
        permitOnlyWorker("suspect");
        submit(CellSimulation::job("suspect"));
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return crashes_ == crashesBeforeIsolation; },
                                                 Milliseconds(60'000)));
        simulation_->advance(Milliseconds(1000));
        permitOnlyWorker("first");
        submit(firstJob());
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("suspect")) > crashesBeforeIsolation; },
                Milliseconds(60'000)));
        assertLaterStarts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("first")));
    }

    void job_behindOneOfALabelWithOneWorker_starts()
    {
        simulation_->worker(onlyWorker).entry.labels.emplace_back("rare");
        simulation_->publishWorker(onlyWorker);
        simulation_->advance(Milliseconds(1000));
        JobSpec job = firstJob();
        job.steps.front().requiredLabel = Label("rare");
        assertLaterStarts(job);
    }

    void job_behindOneLimitedByMemory_starts()
    {
        Resources need;
        need.memory = simulation_->worker(onlyWorker).entry.capacity.memory;
        assertLaterStartsBehindNeed(need);
    }

    void job_behindOneLimitedByAccelerators_starts()
    {
        Resources need;
        need.accelerators = Accelerators(1);
        assertLaterStartsBehindNeed(need);
    }

    void job_behindOneLimitedBySlots_starts()
    {
        Resources need;
        need.slots = Slots(1);
        assertLaterStartsBehindNeed(need);
    }

    void job_behindOneLimitedPerWorker_starts()
    {
        JobSpec job = firstJob();
        job.steps.front().maxPerWorker = 1;
        assertLaterStarts(job);
    }

    void job_behindALongRunningOneThatIsDeniedEverywhere_starts()
    {
        permitted_[JobId("first")] = {};
        JobSpec job = firstJob();
        job.steps.front().longRunning = true;
        assertLaterStarts(job);
    }

    /// Guards against a policy service that fails for one step and so stops approvals for others.
    void job_behindOneThatIsNeverAnswered_starts()
    {
        simulation_->approvalDelivery = [](const InstanceId &, const ApprovalRequest &request) {
            return request.step.job == JobId("first") ? CellSimulation::Delivery::Lost
                                                      : CellSimulation::Delivery::Delivered;
        };
        assertLaterStarts(firstJob());
    }

    void job_deniedEverywhere_startsOnANewWorkerAtOnce()
    {
        simulation_->removeWorker(onlyWorker);
        simulation_->advance(Milliseconds(10'000));
        permitOnlyWorker("first");
        submit(firstJob());
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("first")));
        simulation_->restartWorker(onlyWorker);
        CPPUNIT_ASSERT(advanceUntilStarted("first"));
    }

    /// Guards the reason for the order of requests: none for work that will find no capacity.
    void job_behindOneThatUsesAllCapacity_isNotAskedAbout()
    {
        simulation_->approvalDuration = [](const ApprovalRequest &) { return Milliseconds(140); };
        simulation_->submit(0, firstJob());
        simulation_->submit(0, CellSimulation::job("later"), "later");
        simulation_->advance(Milliseconds(4000));
        CPPUNIT_ASSERT_EQUAL(workers * tasksPerWorker, simulation_->startsOf(JobId("first")));
        CPPUNIT_ASSERT(!asked_.contains(JobId("later")));
    }

private:
    static constexpr std::size_t workers = 8;
    static constexpr std::size_t onlyWorker = 0;
    static constexpr std::size_t tasksPerWorker = 8;
    /// More than the processors of all workers bear.
    static constexpr std::int64_t tasks = 100;
    static constexpr std::size_t crashesBeforeIsolation = 3;
    /// For longer no job may wait beside idle workers.
    static constexpr Milliseconds startLimit {3000};

    static JobSpec firstJob() { return CellSimulation::job("first", tasks); }
    void permitOnlyWorker(const std::string &job)
    {
        permitted_[JobId(job)] = {simulation_->worker(onlyWorker).entry.id};
    }
    bool advanceUntilStarted(const std::string &job)
    {
        return simulation_->advanceUntil([&] { return simulation_->startsOf(JobId(job)) > 0; },
                                         startLimit);
    }
    void assertLaterStarts()
    {
        JobSpec later = CellSimulation::job("later");
        later.steps.front().need.memory = {};
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, later, "later") == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(advanceUntilStarted("later"));
    }
    void assertLaterStarts(const JobSpec &first)
    {
        submit(first);
        simulation_->advance(Milliseconds(2000));
        assertLaterStarts();
    }
    /// One task of the first job fits on each worker with the \a need.
    void assertLaterStartsBehindNeed(Resources need)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            Resources &capacity = simulation_->worker(i).entry.capacity;
            capacity.accelerators = need.accelerators;
            capacity.slots = need.slots;
        }
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(1000));
        JobSpec first = firstJob();
        need.processors = Millicores(1000);
        first.steps.front().need = need;
        assertLaterStarts(first);
        CPPUNIT_ASSERT_EQUAL(workers, simulation_->startsOf(JobId("first")));
    }

    /// The workers that the policy service permits; all of them for other jobs.
    std::map<JobId, std::set<WorkerId>> permitted_;
    std::set<JobId> asked_;
    std::size_t crashes_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApprovalDemandTest);

} // namespace caraway::tests
