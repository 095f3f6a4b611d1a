#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Workers that start again under their id, with calls and replies of both incarnations in flight.
class WorkerRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerRestartTest);
    CPPUNIT_TEST(list_ofTheEarlierIncarnation_acknowledgesNothingOfTheNextOne);
    CPPUNIT_TEST(start_acceptedByTheNextIncarnationBeforeItsEntryIsRead_keepsRunning);
    CPPUNIT_TEST(start_acceptedByANextIncarnationThatIsFirstSeenInItsList_keepsRunning);
    CPPUNIT_TEST(start_whoseReplyArrivesAfterTheNextIncarnationsEntry_keepsRunning);
    CPPUNIT_TEST(start_whoseReplyIsLostOnTheNextIncarnation_isStoppedBeforeTheTaskRunsElsewhere);
    CPPUNIT_TEST(start_arrivingAfterTheNextIncarnationsList_neverRunsTwice);
    CPPUNIT_TEST(run_completedByTheNextIncarnationBeforeItsEntryIsRead_isNotStartedAgain);
    CPPUNIT_TEST(start_lostWithTheEarlierIncarnation_startsAgainInTime);
    CPPUNIT_TEST(start_sentBeforeTwoRestarts_neverRunsTwice);
    CPPUNIT_TEST(start_sentBeforeARestartOfAnUnreachableWorker_runsElsewhereAfterItsLease);
    CPPUNIT_TEST(stop_acceptedByTheEarlierIncarnation_isSentToTheNextOne);
    CPPUNIT_TEST(holder_replacedAfterARestart_startsNothingTwice);
    CPPUNIT_TEST(end_ofTheNextIncarnation_isNotAcknowledgedByANumberOfTheEarlierOne);
    CPPUNIT_TEST(start_arrivingAtTheNextIncarnationAfterItsStop_neverRunsTwice);
    CPPUNIT_TEST(start_meantForAnIncarnationWithALaterStartTime_isNotExecuted);
    CPPUNIT_TEST(entry_ofAnEndedIncarnationWithALaterStartTime_losesNoRun);
    CPPUNIT_TEST(restart_seenByARefusedCall_isReadWithoutDelay);
    CPPUNIT_TEST(end_ofAnIncarnationWithTheSameStartTime_isNotAcknowledgedUnread);
    CPPUNIT_TEST(end_ofAnIncarnationWithTheSameStartTimeAfterTheLease_isNotAcknowledgedUnread);
    CPPUNIT_TEST(run_lostWithAnIncarnationWithTheSameStartTime_startsAgainInTime);
    CPPUNIT_TEST(list_ofTheEarlierIncarnationWithTheSameStartTime_losesNoRun);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against ends of a new incarnation that are acknowledged unread, so that their tasks
    /// run again.
    void list_ofTheEarlierIncarnation_acknowledgesNothingOfTheNextOne()
    {
        start(1);
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        submit("cut", Milliseconds(500));
        CPPUNIT_ASSERT(advanceUntil([&] { return hasStarted("cut"); }));
        delayReplies<WorkerHeartbeat>(Milliseconds(800));
        simulation_->advance(Milliseconds(550));
        simulation_->worker(0).resetsConnections = false;
        simulation_->restartWorker(0);
        simulation_->workerReplyDelay = nullptr;
        simulation_->advance(Milliseconds(3000));
        complete("later");
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("later")));
    }

    /// Guards against a task that runs on the new incarnation and elsewhere at the same time.
    void start_acceptedByTheNextIncarnationBeforeItsEntryIsRead_keepsRunning()
    {
        start(2);
        restartUnnoticed();
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->advance(Milliseconds(50));
        simulation_->publishWorker(0);
        assertRunsOnce("a");
    }

    /// Guards against a run that is stopped, as its worker's restart was counted as a crash under
    /// it.
    void start_acceptedByANextIncarnationThatIsFirstSeenInItsList_keepsRunning()
    {
        start(2);
        restartUnnoticed();
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        assertRunsOnce("a");
    }

    /// Guards against a reply that finds no placement, as the entry has arrived before it.
    void start_whoseReplyArrivesAfterTheNextIncarnationsEntry_keepsRunning()
    {
        start(2);
        restartUnnoticed();
        delayReplies<WorkerStart>(Milliseconds(300));
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->publishWorker(0);
        assertRunsOnce("a");
    }

    /// Guards against a run of the next incarnation that is taken for lost.
    void start_whoseReplyIsLostOnTheNextIncarnation_isStoppedBeforeTheTaskRunsElsewhere()
    {
        start(2);
        restartUnnoticed();
        lose<WorkerStart>(CellSimulation::Delivery::AnswerLost, 1);
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a"); }));
    }

    /// Guards against a start that is carried out late, after the list that lacks its run.
    void start_arrivingAfterTheNextIncarnationsList_neverRunsTwice()
    {
        for (std::int64_t delay = 50; delay <= 650; delay += 50) {
            start(2);
            delayCalls<WorkerStart>(Milliseconds(delay), 1);
            submit("a", longTask);
            restartUnnoticed();
            simulation_->publishWorker(0);
            assertRunsOnce("a");
        }
    }

    /// Guards against the loss of an end that the next incarnation lists.
    void run_completedByTheNextIncarnationBeforeItsEntryIsRead_isNotStartedAgain()
    {
        start(2);
        restartUnnoticed();
        submit("a", Milliseconds(250));
        simulation_->advance(Milliseconds(1200));
        simulation_->publishWorker(0);
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    /// Guards against a task that waits for the worker's lease, although its run is known to be
    /// lost.
    void start_lostWithTheEarlierIncarnation_startsAgainInTime()
    {
        start(2);
        lose<WorkerStart>(CellSimulation::Delivery::Lost, 1);
        submit("a", longTask);
        simulation_->advance(Milliseconds(100));
        simulation_->restartWorker(0);
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return hasStarted("a"); }, Milliseconds(3000)));
    }

    /// Guards against state of the incarnation in between.
    void start_sentBeforeTwoRestarts_neverRunsTwice()
    {
        start(2);
        restartUnnoticed();
        delayReplies<WorkerStart>(Milliseconds(500));
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(20));
        restartUnnoticed();
        simulation_->advance(Milliseconds(20));
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a"); }));
    }

    /// Guards against a task that waits for ever for a worker that registers but never answers.
    void start_sentBeforeARestartOfAnUnreachableWorker_runsElsewhereAfterItsLease()
    {
        start(2);
        restartUnnoticed();
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        const WorkerId first = simulation_->starts().front().worker;
        simulation_->workerDelivery = [=](const InstanceId &, const WorkerRequest &request) {
            return request.worker == first ? CellSimulation::Delivery::Lost
                                           : CellSimulation::Delivery::Delivered;
        };
        simulation_->publishWorker(0);
        CPPUNIT_ASSERT(advanceUntil([&] { return simulation_->startsOf(JobId("a")) == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// Guards against a start that reaches the next incarnation after the earlier one refused it.
    void stop_acceptedByTheEarlierIncarnation_isSentToTheNextOne()
    {
        start(2);
        lose<WorkerStart>(CellSimulation::Delivery::Lost, 1);
        submit("a", longTask);
        std::set<WorkerId> stopped;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            if (std::holds_alternative<WorkerStop>(request.command))
                stopped.insert(request.worker);
            return CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(advanceUntil([&] { return !stopped.empty(); }));
        simulation_->advance(Milliseconds(5));
        stopped.clear();
        restartUnnoticed();
        simulation_->publishWorker(0);
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stopped.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// Guards against a new holder that doesn't know which incarnation has the run.
    void holder_replacedAfterARestart_startsNothingTwice()
    {
        start(2);
        restartUnnoticed();
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->publishWorker(0);
        simulation_->kill(*simulation_->holder());
        assertRunsOnce("a");
    }

    /// Guards against an end that a worker forgets unread, so that its task runs again.
    void end_ofTheNextIncarnation_isNotAcknowledgedByANumberOfTheEarlierOne()
    {
        startWithIdentifiedCalls(1);
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        restartUnnoticed();
        submit("a", Milliseconds(50));
        simulation_->advance(Milliseconds(3000));
        simulation_->publishWorker(0);
        assertRunsOnce("a");
    }

    /// Guards against a late start whose deadline another incarnation takes for one of its clock.
    void start_arrivingAtTheNextIncarnationAfterItsStop_neverRunsTwice()
    {
        startWithIdentifiedCalls(2);
        delayCalls<WorkerStart>(Milliseconds(2000), 1);
        submit("a", longTask);
        simulation_->advance(Milliseconds(1200));
        restartUnnoticed();
        simulation_->publishWorker(0);
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a"); }));
        simulation_->advance(Milliseconds(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    /// Guards against calls to a worker whose time of day has stepped back before its restart.
    void start_meantForAnIncarnationWithALaterStartTime_isNotExecuted()
    {
        startWithIdentifiedCalls(1);
        simulation_->worker(0).entry.incarnation = WorkerIncarnation(10);
        simulation_->restartWorker(0);
        simulation_->advance(Milliseconds(1000));
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        restartUnnoticed();
        simulation_->worker(0).entry.incarnation = WorkerIncarnation(5);
        submit("a", Milliseconds(50));
        simulation_->advance(Milliseconds(100));
        simulation_->publishWorker(0);
        assertRunsOnce("a");
    }

    /// Guards against the loss of a run by a late entry of an incarnation that has ended.
    void entry_ofAnEndedIncarnationWithALaterStartTime_losesNoRun()
    {
        startWithIdentifiedCalls(2);
        simulation_->worker(0).entry.incarnation = WorkerIncarnation(10);
        simulation_->restartWorker(0);
        simulation_->advance(Milliseconds(1000));
        const WorkerEntry ended = simulation_->worker(0).entry;
        restartUnnoticed();
        simulation_->worker(0).entry.incarnation = WorkerIncarnation(5);
        simulation_->advance(Milliseconds(4000));
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(500));
        submit("a", longTask);
        CPPUNIT_ASSERT(startsOnTheFirstWorker("a"));
        simulation_->store().put({RecordType::Workers, ended.id.value()}, ended);
        simulation_->advance(Milliseconds(500));
        simulation_->publishWorker(0);
        assertRunsOnce("a");
    }

    /// Guards against a restart that shows only when a heartbeat has timed out.
    void restart_seenByARefusedCall_isReadWithoutDelay()
    {
        startWithIdentifiedCalls(1);
        complete("earlier");
        restartUnnoticed();
        submit("a", longTask);
        simulation_->advance(Milliseconds(50));
        simulation_->publishWorker(0);
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return hasStarted("a"); }, Milliseconds(1000)));
        assertRunsOnce("a");
    }

    /// Guards against a task that runs again, as its end has a number that was acknowledged before.
    void end_ofAnIncarnationWithTheSameStartTime_isNotAcknowledgedUnread()
    {
        startWithIdentifiedCalls(1);
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        restartWithTheSameStartTime();
        simulation_->advance(Milliseconds(2500));
        submit("later", Milliseconds(100));
        assertRunsOnce("later");
    }

    void end_ofAnIncarnationWithTheSameStartTimeAfterTheLease_isNotAcknowledgedUnread()
    {
        startWithIdentifiedCalls(1);
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        simulation_->advance(Milliseconds(20'000));
        submit("cut", longTask);
        simulation_->advance(Milliseconds(1000));
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &) {
            return CellSimulation::Delivery::Lost;
        };
        restartWithTheSameStartTime();
        simulation_->advance(Milliseconds(12'000));
        simulation_->workerDelivery = nullptr;
        simulation_->advance(Milliseconds(2500));
        submit("later", Milliseconds(100));
        assertRunsOnce("later");
    }

    /// Guards against a task that waits until the clock of the next incarnation has caught up.
    void run_lostWithAnIncarnationWithTheSameStartTime_startsAgainInTime()
    {
        startWithIdentifiedCalls(1);
        complete("earlier");
        simulation_->advance(Milliseconds(30'000));
        submit("a", longTask);
        simulation_->advance(Milliseconds(2000));
        restartWithTheSameStartTime();
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, Milliseconds(8000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// Guards against a reply that takes the clock back to that of the earlier incarnation.
    void list_ofTheEarlierIncarnationWithTheSameStartTime_losesNoRun()
    {
        startWithIdentifiedCalls(2);
        complete("earlier");
        submit("cut", longTask);
        simulation_->advance(Milliseconds(1000));
        delayReplies<WorkerHeartbeat>(Milliseconds(700));
        simulation_->advance(Milliseconds(1600));
        for (std::size_t i = 0; i < 2; ++i) {
            simulation_->worker(i).resetsConnections = false;
            simulation_->worker(i).restart(simulation_->now());
            simulation_->worker(i).entry.incarnation = WorkerIncarnation(1);
        }
        simulation_->workerReplyDelay = nullptr;
        submit("a", longTask);
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted("a") && isCompleted("cut"); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsAfterSuccess());
    }

private:
    static constexpr Milliseconds limit {20'000};
    static constexpr Milliseconds longTask {4000};

    /// Workers that carry out calls for other incarnations, as when they name none.
    void start(std::size_t workers)
    {
        startWithIdentifiedCalls(workers);
        for (std::size_t i = 0; i < workers; ++i)
            simulation_->worker(i).executesCallsForOthers = true;
    }
    void startWithIdentifiedCalls(std::size_t workers)
    {
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        durations_.clear();
        simulation_->plan = [this](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {durations_.at(task.job), CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(advanceUntil([&] { return simulation_->holder().has_value(); }));
        simulation_->advance(Milliseconds(2000));
    }
    bool advanceUntil(const std::function<bool()> &condition)
    {
        return simulation_->advanceUntil(condition, limit);
    }
    void submit(const std::string &id, Milliseconds duration)
    {
        durations_[JobId(id)] = duration;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job(id))
                       == CallerOutcome::Accepted);
    }
    void complete(const std::string &id)
    {
        submit(id, Milliseconds(100));
        CPPUNIT_ASSERT(advanceUntil(
                [&] { return simulation_->stateOf(0, JobId(id)) == JobState::Completed; }));
    }
    bool isCompleted(const std::string &id)
    {
        return simulation_->stateOf(1, JobId(id)) == JobState::Completed;
    }
    /// The process of the first worker restarts behind a partition, so that calls in flight stay
    /// unanswered, and its entry is outdated.
    void restartUnnoticed()
    {
        simulation_->worker(0).resetsConnections = false;
        simulation_->worker(0).restart(simulation_->now());
    }
    void restartWithTheSameStartTime()
    {
        const WorkerIncarnation incarnation = simulation_->worker(0).entry.incarnation;
        restartUnnoticed();
        simulation_->worker(0).entry.incarnation = incarnation;
    }
    bool startsOnTheFirstWorker(const std::string &id)
    {
        return advanceUntil([&] { return hasStarted(id); })
                && simulation_->starts().front().worker == simulation_->worker(0).entry.id;
    }
    void assertRunsOnce(const std::string &id)
    {
        CPPUNIT_ASSERT(advanceUntil([&] { return isCompleted(id); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId(id)));
    }
    template<class Command>
    void lose(CellSimulation::Delivery delivery, int count)
    {
        simulation_->workerDelivery
                = [=, left = count](const InstanceId &, const WorkerRequest &request) mutable {
                      return std::holds_alternative<Command>(request.command) && left-- > 0
                              ? delivery
                              : CellSimulation::Delivery::Delivered;
                  };
    }
    template<class Command>
    void delayCalls(Milliseconds delay, int count)
    {
        simulation_->workerDelay = [=, left = count](const WorkerRequest &request) mutable {
            return std::holds_alternative<Command>(request.command) && left-- > 0 ? delay
                                                                                  : Milliseconds();
        };
    }
    bool hasStarted(const std::string &id) const { return simulation_->startsOf(JobId(id)) > 0; }
    template<class Command>
    void delayReplies(Milliseconds delay)
    {
        simulation_->workerReplyDelay = [delay](const WorkerRequest &request) {
            return std::holds_alternative<Command>(request.command) ? delay : Milliseconds();
        };
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::map<JobId, Milliseconds> durations_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerRestartTest);

} // namespace caraway::tests
