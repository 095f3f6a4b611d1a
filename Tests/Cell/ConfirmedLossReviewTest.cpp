#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// A holder that takes over, loses the store and meets workers that the next holder has read.
class ConfirmedLossReviewTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(ConfirmedLossReviewTest);
    CPPUNIT_TEST(tasks_whoseWorkersRestartBeforeAnUnconfirmedHolderReadsThem_areNotStartedAgain);
    CPPUNIT_TEST(tasks_whoseCompletionsAreListedAfterTheFirstList_areNotStartedAgain);
    CPPUNIT_TEST(recovery_whileOtherWorkersRestartInTurnAndListsAreSlow_ends);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasks_whoseWorkersRestartBeforeAnUnconfirmedHolderReadsThem_areNotStartedAgain()
    {
        startTasks([](const TaskKey &) { return Milliseconds(200); });
        cutWorkersOff();
        takeOver();
        simulation_->advance(Milliseconds(1100));
        partition();
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([this] { return areAllNoted(); }, permissionLimit));
        for (const std::size_t worker : std::exchange(farWorkers_, {})) {
            simulation_->worker(worker).resetsConnections = false;
            simulation_->worker(worker).restart(simulation_->now());
        }
        simulation_->advance(permissionLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsAfterSuccess());
    }

    void tasks_whoseCompletionsAreListedAfterTheFirstList_areNotStartedAgain()
    {
        startTasks([](const TaskKey &task) {
            return Milliseconds(task.index.value() % 2 == 0 ? 30'000 : 600);
        });
        for (std::size_t i = 0; i < workers_; ++i)
            simulation_->worker(i).listingDelay = [](auto) { return Milliseconds(1900); };
        simulation_->advance(Milliseconds(200));
        takeOver();
        CPPUNIT_ASSERT(simulation_->advanceUntil([this] { return hasRecovered(); }, startLimit));
        cutWorkersOff();
        simulation_->advance(Milliseconds(1000));
        partition();
        simulation_->advance(permissionLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsAfterSuccess());
    }

    void recovery_whileOtherWorkersRestartInTurnAndListsAreSlow_ends()
    {
        workers_ = 40;
        startTasks([](const TaskKey &) { return Milliseconds(30'000); });
        simulation_->advance(Milliseconds(500));
        simulation_->storeReplyDelay = [](const StoreRequest &request) {
            return Milliseconds(std::holds_alternative<StoreList>(request) ? 400 : 0);
        };
        takeOver();
        for (std::size_t i = 0; i < workers_; ++i) {
            if (!farWorkers_.contains(i))
                simulation_->restartWorker(i);
            simulation_->advance(Milliseconds(250));
        }
        CPPUNIT_ASSERT(hasRecovered());
    }

private:
    static constexpr std::int64_t tasks = 16;
    /// Longer than a holder acts without the store.
    static constexpr Milliseconds permissionLimit {6000};
    static constexpr Milliseconds startLimit {1000};
    void startTasks(const std::function<Milliseconds(const TaskKey &)> &duration)
    {
        startCell(workers_);
        simulation_->plan = [duration](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {duration(task), CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(startLimit * 2);
        submit(CellSimulation::job("a", tasks));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().size() == std::size_t(tasks); }, startLimit));
        farWorkers_ = workersWithRuns();
        former_ = (*simulation_->holder() + 1) % instances;
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &call) {
            formerToken_ = isFormer(from) ? call.token : formerToken_;
            return Delivery::Delivered;
        };
    }
    void takeOver()
    {
        const std::size_t first = *simulation_->holder();
        const std::size_t other = (first + 2) % instances;
        for (const std::size_t i : {first, other})
            simulation_->kill(i);
        simulation_->advance(Milliseconds(1));
        recoveries_ = logged("event=workers_recovered");
        awaitHolder();
        for (const std::size_t i : {first, other})
            simulation_->restart(i);
    }
    void cutWorkersOff()
    {
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &call) {
            return deliveryIf(!isFormer(from) || !isFar(call.worker));
        };
        simulation_->workerReplyDelay = [this](const WorkerRequest &call) {
            const bool isCut = call.token == formerToken_ && isFar(call.worker);
            return isCut ? permissionLimit * 2 : Milliseconds();
        };
    }
    void partition()
    {
        simulation_->storeDelivery = [this](const InstanceId &from, const auto &) {
            return deliveryIf(!isFormer(from));
        };
        simulation_->peerDelivery = [](const auto &, const auto &) { return Delivery::Lost; };
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &call) {
            return deliveryIf(isFormer(from) != isFar(call.worker));
        };
    }
    using Delivery = CellSimulation::Delivery;
    static Delivery deliveryIf(bool is) { return is ? Delivery::Delivered : Delivery::Lost; }
    bool hasRecovered() const { return logged("event=workers_recovered") > recoveries_; }
    bool areAllNoted() const
    {
        return std::ranges::all_of(simulation_->starts(),
                                   [](const auto &start) { return start.acknowledged; });
    }
    bool isFormer(const InstanceId &id) const
    {
        return id == InstanceId("entry-" + std::to_string(former_));
    }
    bool isFar(const WorkerId &id) const { return farWorkers_.contains(simulation_->indexOf(id)); }

    /// Those with runs, until they restart; cut off from the former holder.
    std::set<std::size_t> farWorkers_;
    std::size_t former_ = 0;
    FencingToken formerToken_;
    std::size_t recoveries_ = 0;
    std::size_t workers_ = 4;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfirmedLossReviewTest);

} // namespace caraway::tests
