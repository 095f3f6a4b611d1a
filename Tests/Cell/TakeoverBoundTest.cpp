#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// How long a new holder lets older jobs wait for a worker that was lost together with the earlier
/// holder.
class TakeoverBoundTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TakeoverBoundTest);
    CPPUNIT_TEST(holder_lostForGoodWithAWorker_othersStartItsTasksWithinTheRule);
    CPPUNIT_TEST(holder_cutOffFromTheStoreAndItsPeers_renewsNoLeaseBeyondTheNextOnesBound);
    CPPUNIT_TEST(store_awayForSevenSeconds_endsNoRun);
    CPPUNIT_TEST(holder_withShortWorkerLeases_isConfirmedInTime);
    CPPUNIT_TEST(holder_restartedAfterItWasLostWithAWorker_othersWaitOnlyForTheLease);
    CPPUNIT_TEST(holder_restartedBeforeItsWorkersLeaseEnds_startsNothingTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->worker(i).entry.labels = {i == 0 ? lost : kept};
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(500));
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isFirst = task.job == JobId("b") && task.step == StepIndex(0);
            return SimulatedWorker::RunPlan {Milliseconds(isFirst ? 1000 : 20'000),
                                             CompletionReason::Succeeded};
        };
        JobSpec onLostWorker = CellSimulation::job("a");
        onLostWorker.steps.front().requiredLabel = lost;
        submit(onLostWorker);
        // The second step is ready under the next holder only.
        JobSpec older = CellSimulation::job("b");
        older.steps.front().requiredLabel = kept;
        older.steps.push_back(older.steps.front());
        older.steps.back().after = {StepIndex(0)};
        submit(older);
        simulation_->advance(Milliseconds(300));
    }

    /// Guards against a task that waits for a former holder's renewals as well as for the lease.
    void holder_lostForGoodWithAWorker_othersStartItsTasksWithinTheRule()
    {
        for (std::size_t i = 1; i < 4; ++i) {
            simulation_->worker(i).entry.labels = {lost, kept};
            simulation_->publishWorker(i);
        }
        simulation_->kill(*simulation_->holder());
        simulation_->removeWorker(0);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, ruleLimit));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// Guards against runs of the former holder beside those of the next one.
    void holder_cutOffFromTheStoreAndItsPeers_renewsNoLeaseBeyondTheNextOnesBound()
    {
        const std::size_t old = *simulation_->holder();
        const InstanceId cutOff("entry-" + std::to_string(old));
        simulation_->storeDelivery = [=](const InstanceId &from, const StoreRequest &) {
            return from == cutOff ? CellSimulation::Delivery::Lost
                                  : CellSimulation::Delivery::Delivered;
        };
        simulation_->peerDelivery = [=](const InstanceId &from, const PeerMessage &) {
            return from == cutOff ? CellSimulation::Delivery::Lost
                                  : CellSimulation::Delivery::Delivered;
        };
        simulation_->workerDelivery = [=, this](const InstanceId &from,
                                                const WorkerRequest &request) {
            const bool isLost = from != cutOff && simulation_->indexOf(request.worker) == 0;
            return isLost ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::Delivered;
        };
        for (std::size_t i = 1; i < 4; ++i) {
            simulation_->worker(i).entry.labels = {lost, kept};
            simulation_->publishWorker(i);
        }
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void store_awayForSevenSeconds_endsNoRun()
    {
        for (std::int64_t phase = 0; phase < 1000; phase += 100) {
            setUp();
            simulation_->advance(Milliseconds(phase));
            simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &) {
                return CellSimulation::Delivery::Lost;
            };
            simulation_->advance(Milliseconds(7000));
            simulation_->storeDelivery = nullptr;
            simulation_->advance(Milliseconds(5000));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
        }
    }

    /// Guards against a holder that never schedules where workers grant short leases.
    void holder_withShortWorkerLeases_isConfirmedInTime()
    {
        constexpr Milliseconds listInterval {700};
        constexpr Milliseconds storeTimeout = CellContext::defaultStoreTimeout;
        for (const std::int64_t lease : {100, 500, 1000, 2500, 6000})
            CPPUNIT_ASSERT(confirmationLimit(Milliseconds(lease)) > listInterval + storeTimeout);
    }

    /// A holder that was killed without notice may still renew leases, as far as the next one
    /// knows. Its next incarnation shows that it does not.
    void holder_restartedAfterItWasLostWithAWorker_othersWaitOnlyForTheLease()
    {
        const std::size_t old = *simulation_->holder();
        const TimePoint lostAt = simulation_->now();
        simulation_->kill(old);
        simulation_->crashWorker(0);
        simulation_->advance(Milliseconds(1000));
        simulation_->restart(old);
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return startsOfSecondStep() > 0; }, longWait));
        CPPUNIT_ASSERT_LESS((restartSeenWithin + longestLease).count(),
                            (simulation_->now() - lostAt).count());
    }

    /// The worker runs on, and is cut off from all holders.
    void holder_restartedBeforeItsWorkersLeaseEnds_startsNothingTwice()
    {
        const std::size_t old = *simulation_->holder();
        simulation_->workerDelivery = [this](const InstanceId &, const WorkerRequest &request) {
            return simulation_->indexOf(request.worker) == 0 ? CellSimulation::Delivery::Lost
                                                             : CellSimulation::Delivery::Delivered;
        };
        simulation_->kill(old);
        simulation_->advance(Milliseconds(500));
        for (std::size_t i = 1; i < 4; ++i) {
            simulation_->worker(i).entry.labels = {lost};
            simulation_->publishWorker(i);
        }
        simulation_->restart(old);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) > 1; }, longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

private:
    void submit(const JobSpec &job)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(*simulation_->holder(), job)
                       == CallerOutcome::Accepted);
    }
    std::size_t startsOfSecondStep() const
    {
        const auto &starts = simulation_->starts();
        return static_cast<std::size_t>(std::count_if(
                starts.begin(), starts.end(), [](const CellSimulation::ObservedRun &row) {
                    return row.task.job == JobId("b") && row.task.step == StepIndex(1);
                }));
    }

    static constexpr Milliseconds longWait {20'000};
    /// A task must not wait for longer after a loss: 3 s until the fleet counts as calm, 4 s of
    /// calm, and 3 s.
    static constexpr Milliseconds ruleLimit {10'000};
    /// The worker's lease on a clock that is two percent slow, with its margin.
    static constexpr Milliseconds longestLease {6420};
    /// The restart, the first message of the new incarnation and the use of a free worker.
    static constexpr Milliseconds restartSeenWithin {3000};
    static inline const Label lost {"lost"};
    static inline const Label kept {"kept"};
    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverBoundTest);

} // namespace caraway::tests
