#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// A holder and some workers are cut off from the store, the other instances and the other workers.
class PartitionedHolderTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(PartitionedHolderTest);
    CPPUNIT_TEST(tasks_whoseWorkersTheNextHolderHasRead_areNotStartedAgain);
    CPPUNIT_TEST(runs_onWorkersThatTheNextHolderHasRead_areNotDoubled);
    CPPUNIT_TEST(tasks_whoseWorkerRestartsAfterTheNextHolderHasReadIt_areNotStartedAgain);
    CPPUNIT_TEST(tasks_whoseWorkersAHolderCouldNotReadSinceItsTakeover_areNotStartedAgain);
    CPPUNIT_TEST(tasks_onALostWorker_startAgainInTimeWhileTheStoreServes);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasks_whoseWorkersTheNextHolderHasRead_areNotStartedAgain()
    {
        forEachPhase([this] {
            submitAndPartition();
            CPPUNIT_ASSERT(simulation_->advanceUntil([this] { return hasNoted(farWorker_); },
                                                     formerHolderLimit));
            simulation_->advance(formerHolderLimit);
        });
    }

    void runs_onWorkersThatTheNextHolderHasRead_areNotDoubled()
    {
        duration_ = Milliseconds(20'000);
        forEachPhase([this] {
            submitAndPartition();
            simulation_->advance(formerHolderLimit);
        });
    }

    void tasks_whoseWorkerRestartsAfterTheNextHolderHasReadIt_areNotStartedAgain()
    {
        forEachPhase([this] {
            submitAndPartition();
            CPPUNIT_ASSERT(simulation_->advanceUntil([this] { return hasNoted(farWorker_); },
                                                     formerHolderLimit));
            nearWorkers_.insert(farWorker_);
            simulation_->worker(farWorker_).resetsConnections = false;
            simulation_->worker(farWorker_).restart(simulation_->now());
            simulation_->advance(formerHolderLimit);
        });
    }

    void tasks_whoseWorkersAHolderCouldNotReadSinceItsTakeover_areNotStartedAgain()
    {
        forEachPhase([this] {
            submitAndAwaitStarts();
            const std::size_t first = former_;
            unreachedBy_ = InstanceId("entry-" + std::to_string(nextAfter(first)));
            simulation_->kill(first);
            simulation_->kill(nextAfter(nextAfter(first)));
            simulation_->advance(Milliseconds(1));
            CPPUNIT_ASSERT(simulation_->advanceUntil(
                    [&] { return simulation_->holder().has_value(); }, Milliseconds(5000)));
            former_ = nextAfter(first);
            simulation_->restart(first);
            simulation_->restart(nextAfter(former_));
            simulation_->advance(unreadFor);
            partition();
            CPPUNIT_ASSERT(simulation_->advanceUntil([this] { return hasNoted(farWorker_); },
                                                     formerHolderLimit));
            simulation_->advance(formerHolderLimit);
        });
    }

    void tasks_onALostWorker_startAgainInTimeWhileTheStoreServes()
    {
        duration_ = Milliseconds(5000);
        startPhase(Milliseconds());
        submitAndAwaitStarts();
        const TimePoint lostAt = simulation_->now();
        simulation_->worker(farWorker_).leave();
        const std::size_t starts = simulation_->starts().size();
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return simulation_->starts().size() > starts; },
                                          lostWorkerBound - (simulation_->now() - lostAt)));
    }

private:
    static constexpr std::size_t workers = 4;
    /// They fill two workers, so that the others have room.
    static constexpr std::size_t tasks = 16;
    /// Longer than a holder acts without the store, and than the leases of its workers last.
    static constexpr Milliseconds formerHolderLimit {12'000};
    /// Until a holder that could not read some workers is partitioned.
    static constexpr Milliseconds unreadFor {1100};
    /// The lease, by a clock that is 2% slow, and the allowances for the network.
    static constexpr Milliseconds lostWorkerBound {6600};

    /// Plays \a scene with other phases of the confirmations and of the renewals of leases.
    void forEachPhase(const std::function<void()> &scene)
    {
        std::size_t startsAfterSuccess = 0;
        std::size_t overlaps = 0;
        for (std::int64_t phase = 0; phase < 1500; phase += 150) {
            startPhase(Milliseconds(phase));
            scene();
            startsAfterSuccess += simulation_->startsAfterSuccess();
            overlaps += simulation_->overlaps();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsAfterSuccess);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), overlaps);
    }
    void startPhase(Milliseconds phase)
    {
        nearWorkers_.clear();
        unreachedBy_.reset();
        startCell(workers);
        simulation_->plan = [this](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {duration_, CompletionReason::Succeeded};
        };
        awaitHolder();
        former_ = *simulation_->holder();
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &call) {
            const bool isFar = !isNear(call.worker);
            if (from == nameOf(former_))
                formerToken_ = call.token;
            return isFar && from == unreachedBy_ ? CellSimulation::Delivery::Lost
                                                 : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(2000) + phase);
    }
    void submitAndAwaitStarts()
    {
        submit(CellSimulation::job("a", static_cast<std::int64_t>(tasks)));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().size() == tasks; }, Milliseconds(1000)));
        const std::set<std::size_t> withRuns = workersWithRuns();
        farWorker_ = *withRuns.begin();
        for (std::size_t i = 0; i < workers; ++i) {
            if (!withRuns.contains(i))
                nearWorkers_.insert(i);
        }
        CPPUNIT_ASSERT(!nearWorkers_.empty());
    }
    void submitAndPartition()
    {
        submitAndAwaitStarts();
        partition();
    }
    void partition()
    {
        simulation_->storeDelivery = [this](const InstanceId &from, const StoreRequest &) {
            return from == nameOf(former_) ? CellSimulation::Delivery::Lost
                                           : CellSimulation::Delivery::Delivered;
        };
        simulation_->peerDelivery = [](const InstanceId &, const PeerMessage &) {
            return CellSimulation::Delivery::Lost;
        };
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &call) {
            return (from == nameOf(former_)) == isNear(call.worker)
                    ? CellSimulation::Delivery::Delivered
                    : CellSimulation::Delivery::Lost;
        };
        simulation_->workerReplyDelay = [this](const WorkerRequest &call) {
            const bool isCut = call.token == formerToken_ && !isNear(call.worker);
            return isCut ? formerHolderLimit * 2 : Milliseconds();
        };
    }
    bool isNear(const WorkerId &worker) const
    {
        return nearWorkers_.contains(simulation_->indexOf(worker));
    }
    bool hasNoted(std::size_t worker) const
    {
        const auto &starts = simulation_->starts();
        return std::ranges::any_of(starts, [&](const auto &start) {
            return start.acknowledged && simulation_->indexOf(start.worker) == worker;
        });
    }
    static InstanceId nameOf(std::size_t instance)
    {
        return InstanceId("entry-" + std::to_string(instance));
    }
    static std::size_t nextAfter(std::size_t instance) { return (instance + 1) % instances; }

    /// The workers on the side of the former holder, which have no runs before the partition.
    std::set<std::size_t> nearWorkers_;
    /// One of the others.
    std::size_t farWorker_ = 0;
    /// Cannot reach the other workers, also without the partition.
    std::optional<InstanceId> unreachedBy_;
    std::size_t former_ = 0;
    FencingToken formerToken_;
    Milliseconds duration_ {200};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionedHolderTest);

} // namespace caraway::tests
