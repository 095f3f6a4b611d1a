#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// A holder that does not know yet that another instance has taken over.
class FormerHolderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FormerHolderTest);
    CPPUNIT_TEST(holder_resumedWithAWaitingJob_startsNothing);
    CPPUNIT_TEST(holder_resumedWithWaitingReplies_renewsAndAcknowledgesNothing);
    CPPUNIT_TEST(holder_resumedWithAWaitingCancellation_stopsNothing);
    CPPUNIT_TEST(holder_thatAWorkerHasFenced_startsNothing);
    CPPUNIT_TEST(holder_readingAWorkerThatRestartedAfterTheNextHoldersRead_startsNothingThere);
    CPPUNIT_TEST(holder_withAWorkerThatHasAForeignToken_startsJobsInTime);
    CPPUNIT_TEST(holder_resumedAfterAJobHasCompleted_doesNotShowItAsRunning);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(4000), CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(advanceUntil([&] { return simulation_->holder().has_value(); }));
        simulation_->advance(Milliseconds(2000));
        old_ = *simulation_->holder();
        other_ = old_ == 0 ? 1 : 0;
    }

    /// Guards against starts by events that waited while the process was paused.
    void holder_resumedWithAWaitingJob_startsNothing()
    {
        simulation_->pause(old_);
        accept("a");
        resumeAfterTakeover();
        CPPUNIT_ASSERT_EQUAL(0, starts_);
    }

    /// Guards against leases and ends that a former holder still decides about.
    void holder_resumedWithWaitingReplies_renewsAndAcknowledgesNothing()
    {
        accept("a");
        simulation_->advance(Milliseconds(3800));
        simulation_->pause(old_);
        resumeAfterTakeover();
        CPPUNIT_ASSERT_EQUAL(0, renewals_);
        CPPUNIT_ASSERT_EQUAL(0, acknowledgements_);
    }

    /// Guards against the stop of a run that belongs to the next holder.
    void holder_resumedWithAWaitingCancellation_stopsNothing()
    {
        accept("a");
        simulation_->advance(Milliseconds(200));
        simulation_->pause(old_);
        simulation_->cancel(other_, JobId("a"));
        resumeAfterTakeover();
        CPPUNIT_ASSERT_EQUAL(0, stops_);
    }

    /// Guards against starts on workers that the next holder has not reached yet.
    void holder_thatAWorkerHasFenced_startsNothing()
    {
        refuseStarts();
        accept("a");
        cutFromTheStore();
        simulation_->advance(Milliseconds(3200));
        CPPUNIT_ASSERT(simulation_->instance(old_).isHolder());
        countCallsOfTheOldHolder(CellSimulation::Delivery::Refused);
        simulation_->advance(Milliseconds(1800));
        CPPUNIT_ASSERT_EQUAL(0, starts_);
    }

    /// Guards against a task that runs twice, on an incarnation without a token and elsewhere.
    void holder_readingAWorkerThatRestartedAfterTheNextHoldersRead_startsNothingThere()
    {
        refuseStarts();
        accept("a");
        cutFromTheStore();
        const InstanceId old = nameOfTheOldHolder();
        const WorkerId restarted = simulation_->worker(0).entry.id;
        bool hasRestarted = false;
        simulation_->workerDelivery = [&](const InstanceId &from, const WorkerRequest &call) {
            const bool isStart = std::holds_alternative<WorkerStart>(call.command);
            const bool isOnRestarted = hasRestarted && call.worker == restarted;
            const bool isReached = (from == old) == isOnRestarted;
            if (isReached && (hasRestarted || !isStart))
                return CellSimulation::Delivery::Delivered;
            return isStart ? CellSimulation::Delivery::Refused : CellSimulation::Delivery::Dropped;
        };
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT(simulation_->instance(old_).isHolder());
        hasRestarted = true;
        simulation_->worker(0).resetsConnections = false;
        simulation_->restartWorker(0);
        simulation_->advance(Milliseconds(3000));
        const auto &starts = simulation_->starts();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0),
                             std::count_if(starts.begin(), starts.end(), [&](const auto &start) {
                                 return start.worker == restarted;
                             }));
    }

    /// Guards against a worker whose refusals hold back the starts on all others.
    void holder_withAWorkerThatHasAForeignToken_startsJobsInTime()
    {
        SimulatedWorker &odd = simulation_->worker(0);
        const WorkerStop stop {TaskKey {JobId("foreign"), {}, {}, {}}, RunNumber(1)};
        odd.handle(simulation_->now(), {odd.entry.id, {}, FencingToken(1'000'000), stop},
                   [](const WorkerReply &) {});
        simulation_->advance(Milliseconds(4000));
        for (int i = 0; i < 6; ++i) {
            const std::string id = "a" + std::to_string(i);
            accept(id);
            simulation_->advance(Milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId(id)));
        }
    }

    /// Guards against a state that goes back, at an instance that does not know that it was
    /// replaced.
    void holder_resumedAfterAJobHasCompleted_doesNotShowItAsRunning()
    {
        accept("a");
        simulation_->advance(Milliseconds(1000));
        simulation_->pause(old_);
        CPPUNIT_ASSERT(advanceUntil(
                [&] { return simulation_->stateOf(other_, JobId("a")) == JobState::Completed; }));
        const CallerRequestId waiting = simulation_->read(old_, JobId("a"));
        simulation_->advance(Milliseconds(100));
        simulation_->resume(old_);
        simulation_->advance(Milliseconds(500));
        const std::optional<CallerAnswer> answer = simulation_->answerOf(waiting);
        CPPUNIT_ASSERT(answer && answer->outcome == CallerOutcome::State);
        CPPUNIT_ASSERT(answer->state == JobState::Completed);
    }

private:
    InstanceId nameOfTheOldHolder() const { return InstanceId("entry-" + std::to_string(old_)); }
    /// The workers refuse starts, so that jobs wait.
    void refuseStarts()
    {
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &call) {
            return std::holds_alternative<WorkerStart>(call.command)
                    ? CellSimulation::Delivery::Refused
                    : CellSimulation::Delivery::Delivered;
        };
    }
    /// The store answers the old holder only with the entries of workers, and no instance tells it
    /// of the next holder.
    void cutFromTheStore()
    {
        simulation_->storeDelivery = [old = nameOfTheOldHolder()](const InstanceId &from,
                                                                  const StoreRequest &request) {
            const auto *list = std::get_if<StoreList>(&request);
            const auto *watch = std::get_if<StoreWatch>(&request);
            const bool isOfWorkers = (list && list->type == RecordType::Workers)
                    || (watch && watch->type == RecordType::Workers);
            return from != old || isOfWorkers ? CellSimulation::Delivery::Delivered
                                              : CellSimulation::Delivery::Lost;
        };
        simulation_->peerDelivery = [](const InstanceId &, const PeerMessage &message) {
            return std::holds_alternative<PeerStateUpdate>(message)
                    ? CellSimulation::Delivery::Lost
                    : CellSimulation::Delivery::Delivered;
        };
    }
    bool advanceUntil(const std::function<bool()> &condition)
    {
        return simulation_->advanceUntil(condition, Milliseconds(20'000));
    }
    void accept(const std::string &id)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(other_, CellSimulation::job(id))
                       == CallerOutcome::Accepted);
    }
    void resumeAfterTakeover()
    {
        CPPUNIT_ASSERT(advanceUntil([&] { return simulation_->holder().has_value(); }));
        simulation_->advance(Milliseconds(1000));
        countCallsOfTheOldHolder();
        simulation_->resume(old_);
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT(!simulation_->instance(old_).isHolder());
    }
    void countCallsOfTheOldHolder(CellSimulation::Delivery ofStarts
                                  = CellSimulation::Delivery::Delivered)
    {
        simulation_->workerDelivery = [=, this](const InstanceId &from, const WorkerRequest &call) {
            if (from == nameOfTheOldHolder())
                count(call);
            return std::holds_alternative<WorkerStart>(call.command)
                    ? ofStarts
                    : CellSimulation::Delivery::Delivered;
        };
    }
    void count(const WorkerRequest &call)
    {
        const auto *heartbeat = std::get_if<WorkerHeartbeat>(&call.command);
        starts_ += std::holds_alternative<WorkerStart>(call.command) ? 1 : 0;
        stops_ += std::holds_alternative<WorkerStop>(call.command) ? 1 : 0;
        renewals_ += heartbeat && heartbeat->deadline != WorkerTime() ? 1 : 0;
        acknowledgements_ += heartbeat && heartbeat->acknowledged != CompletionNumber() ? 1 : 0;
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t old_ = 0;
    std::size_t other_ = 0;
    int starts_ = 0;
    int stops_ = 0;
    int renewals_ = 0;
    int acknowledgements_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerHolderTest);

} // namespace caraway::tests
