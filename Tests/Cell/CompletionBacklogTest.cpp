#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Workers with more unacknowledged completions than they list in one reply.
class CompletionBacklogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompletionBacklogTest);
    CPPUNIT_TEST(task_whoseSuccessIsNotListedAfterATakeover_doesNotStartAgain);
    CPPUNIT_TEST(jobs_whoseWorkerIsLostWithItsBacklog_completeAfterTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        SimulatedWorker &worker = simulation_->worker(0);
        worker.entry.capacity.processors = Millicores(2'000'000);
        simulation_->publishWorker(0);
        simulation_->worker(1).entry.capacity.processors = Millicores(0);
        simulation_->publishWorker(1);
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(task.job == JobId("last") ? 900 : 700),
                                             CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(2000));
    }

    /// Guards against a second run of a task whose success is behind the end of the list.
    void task_whoseSuccessIsNotListedAfterATakeover_doesNotStartAgain()
    {
        fillListOfWorker();
        replaceHolder();
        simulation_->advance(Milliseconds(12'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("last")));
        simulation_->storeDelivery = nullptr;
        assertCompleted();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsAfterSuccess());
    }

    void jobs_whoseWorkerIsLostWithItsBacklog_completeAfterTheLease()
    {
        fillListOfWorker();
        replaceHolder();
        simulation_->advance(Milliseconds(3000));
        simulation_->crashWorker(0);
        simulation_->storeDelivery = nullptr;
        assertCompleted();
    }

private:
    static constexpr Milliseconds longWait {30'000};
    static constexpr std::int64_t backlog = 600;

    void awaitHolder()
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
    }
    /// The store accepts no progress, so that no completion is acknowledged.
    void fillListOfWorker()
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("first", backlog))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("last"))
                       == CallerOutcome::Accepted);
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isOfProgress = commit
                    && std::any_of(commit->writes.begin(), commit->writes.end(),
                                   [](const StoreWrite &write) {
                                       return write.key.type == RecordType::Progress
                                               || write.key.type == RecordType::Results;
                                   });
            return isOfProgress ? CellSimulation::Delivery::Refused
                                : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->worker(0).unacknowledged() == backlog + 1; }, longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("last")));
    }
    void replaceHolder()
    {
        simulation_->kill(*simulation_->holder());
        simulation_->advance(Milliseconds(500));
        awaitHolder();
        simulation_->worker(1).entry.capacity.processors = Millicores(2'000'000);
        simulation_->publishWorker(1);
    }
    void assertCompleted()
    {
        for (const char *id : {"first", "last"}) {
            CPPUNIT_ASSERT_MESSAGE(id,
                                   simulation_->advanceUntil(
                                           [&] {
                                               return simulation_->stateOf(*simulation_->holder(),
                                                                           JobId(id))
                                                       == JobState::Completed;
                                           },
                                           longWait));
        }
    }

    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionBacklogTest);

} // namespace caraway::tests
