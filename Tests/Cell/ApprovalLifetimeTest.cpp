#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Decisions of the policy service on workers that start again under their id, perhaps with other
/// labels.
class ApprovalLifetimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApprovalLifetimeTest);
    CPPUNIT_TEST(step_deniedOnWorkersThatHaveRestartedSince_startsThere);
    CPPUNIT_TEST(gang_deniedOnWorkersThatHaveRestartedSince_startsThere);
    CPPUNIT_TEST(step_approvedOnAWorkerThatHasRestartedSince_isApprovedThereAgain);
    CPPUNIT_TEST(approval_requestedForAnEarlierIncarnation_isNotUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        simulation_->plan = [this](const TaskKey &task, RunNumber) {
            startedAt_.emplace(task.job, simulation_->now());
            return SimulatedWorker::RunPlan {Milliseconds(500), CompletionReason::Succeeded};
        };
        for (Queue &queue : simulation_->configuration.queues)
            queue.approval = ApprovalSettings {Milliseconds(20), 100, Milliseconds(2000)};
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->approves = [this](const StepKey &step, const WorkerId &) {
            requestedAt_[step.job] = simulation_->now();
            return isApproved_;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(2000));
    }

    /// Guards against a job that never starts, as all workers have denied it in an earlier life.
    void step_deniedOnWorkersThatHaveRestartedSince_startsThere()
    {
        assertStartsAfterDenials(CellSimulation::job("a", 2));
    }

    void gang_deniedOnWorkersThatHaveRestartedSince_startsThere()
    {
        JobSpec gang = CellSimulation::job("a", 2);
        gang.steps.front().gang = true;
        assertStartsAfterDenials(gang);
    }

    /// Guards against starts with the ticket of an earlier incarnation, which the worker refuses.
    void step_approvedOnAWorkerThatHasRestartedSince_isApprovedThereAgain()
    {
        refuseStarts();
        submit(CellSimulation::job("a"));
        simulation_->advance(Milliseconds(100));
        const TimePoint restartedAt = restartWorkers();
        simulation_->workerDelivery = nullptr;
        CPPUNIT_ASSERT(advanceUntilStarted("a"));
        CPPUNIT_ASSERT(requestedAt_.at(JobId("a")) >= restartedAt);
    }

    /// Guards against an answer about an earlier incarnation that is taken for one about the next.
    void approval_requestedForAnEarlierIncarnation_isNotUsed()
    {
        simulation_->approvalDuration = [](const ApprovalRequest &) { return Milliseconds(400); };
        submit(CellSimulation::job("a"));
        simulation_->advance(Milliseconds(100));
        const TimePoint restartedAt = restartWorkers();
        CPPUNIT_ASSERT(advanceUntilStarted("a"));
        CPPUNIT_ASSERT(requestedAt_.at(JobId("a")) >= restartedAt);
    }

private:
    static constexpr Milliseconds longWait {20'000};

    void submit(const JobSpec &job)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
    }
    /// The workers refuse starts for the moment, so that the step waits with valid tickets.
    void refuseStarts()
    {
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &call) {
            return std::holds_alternative<WorkerStart>(call.command)
                    ? CellSimulation::Delivery::Refused
                    : CellSimulation::Delivery::Delivered;
        };
    }
    TimePoint restartWorkers()
    {
        const TimePoint now = simulation_->now();
        for (std::size_t i = 0; i < 2; ++i) {
            simulation_->crashWorker(i);
            simulation_->restartWorker(i);
        }
        return now;
    }
    bool advanceUntilStarted(const std::string &job)
    {
        return simulation_->advanceUntil([&] { return startedAt_.contains(JobId(job)); }, longWait);
    }
    void assertStartsAfterDenials(const JobSpec &job)
    {
        isApproved_ = false;
        submit(job);
        simulation_->advance(Milliseconds(3000));
        CPPUNIT_ASSERT(!startedAt_.contains(job.id));
        isApproved_ = true;
        restartWorkers();
        CPPUNIT_ASSERT(advanceUntilStarted(job.id.value()));
    }

    std::unique_ptr<CellSimulation> simulation_;
    bool isApproved_ = true;
    std::map<JobId, TimePoint> requestedAt_;
    std::map<JobId, TimePoint> startedAt_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApprovalLifetimeTest);

} // namespace caraway::tests
