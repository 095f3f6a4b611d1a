#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// The state of a job at an instance that did not receive all changes of it.
class JobStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobStateTest);
    CPPUNIT_TEST(job_completedWhileAnInstanceWasPaused_isShownAsCompletedThere);
    CPPUNIT_TEST(job_submittedAgainAfterItsEnd_isShownAsCompleted);
    CPPUNIT_TEST(job_submittedAgainWhileItRuns_isShownAsRunning);
    CPPUNIT_TEST(job_whoseCommitReplyWaitedUntilAfterItsEnd_isShownAsCompleted);
    CPPUNIT_TEST(job_runningSinceBeforeAnInstanceRestarted_isShownAsRunning);
    CPPUNIT_TEST(job_whoseEndWasLostBetweenTwoUpdates_isShownAsCompleted);
    CPPUNIT_TEST(job_whoseStartAFormerHolderAnnouncedLate_isShownAsCompleted);
    CPPUNIT_TEST(job_partlyDoneBeforeAllInstancesRestarted_isShownAsRunning);
    CPPUNIT_TEST(job_pendingForLong_isReadFromTheStoreOnceByEachInstance);
    CPPUNIT_TEST(read_unansweredByTheHolder_isAnsweredWithoutIt);
    CPPUNIT_TEST(job_readThroughARestart_isNotShownByAnAnswerToTheEarlierProcess);
    CPPUNIT_TEST(job_whoseStartAnEarlierTermHadNotAnnounced_isShownAsCompleted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 Milliseconds(5000)));
        simulation_->advance(Milliseconds(1000));
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(2000), CompletionReason::Succeeded};
        };
    }

    void job_submittedAgainAfterItsEnd_isShownAsCompleted()
    {
        const std::size_t restarted = otherThanHolder();
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(4000));
        simulation_->restart(restarted);
        simulation_->advance(Milliseconds(2000));
        submitAt(restarted);
        assertShown(JobState::Completed, restarted);
    }

    void job_submittedAgainWhileItRuns_isShownAsRunning()
    {
        simulation_->plan = lasting;
        const std::size_t restarted = otherThanHolder();
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(1000));
        simulation_->restart(restarted);
        simulation_->advance(Milliseconds(2000));
        submitAt(restarted);
        assertShown(JobState::Running, restarted);
    }

    void job_whoseCommitReplyWaitedUntilAfterItsEnd_isShownAsCompleted()
    {
        const std::size_t paused = otherThanHolder();
        simulation_->storeReplyDelay = [](const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isSubmission = commit && !commit->writes.empty()
                    && commit->writes.front().key.type == RecordType::Jobs;
            return Milliseconds(isSubmission ? 700 : 0);
        };
        simulation_->submit(paused, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(3));
        simulation_->pause(paused);
        simulation_->peerDelivery = [](const InstanceId &, const PeerMessage &message) {
            const auto *update = std::get_if<PeerStateUpdate>(&message);
            return update && !update->changed.empty() ? CellSimulation::Delivery::Dropped
                                                      : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(9000));
        simulation_->peerDelivery = {};
        simulation_->resume(paused);
        simulation_->advance(Milliseconds(2000));
        assertShown(JobState::Completed, paused);
    }

    void job_runningSinceBeforeAnInstanceRestarted_isShownAsRunning()
    {
        simulation_->plan = lasting;
        const std::size_t restarted = otherThanHolder();
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(1000));
        simulation_->restart(restarted);
        simulation_->advance(Milliseconds(2000));
        assertShown(JobState::Running, restarted);
    }

    void job_partlyDoneBeforeAllInstancesRestarted_isShownAsRunning()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isFirst = task.index == TaskIndex(0);
            return SimulatedWorker::RunPlan {Milliseconds(isFirst ? 300 : 60'000),
                                             CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a", 2))
                       == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(2000));
        for (std::size_t i = 0; i < 3; ++i)
            simulation_->restart(i);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 Milliseconds(10'000)));
        simulation_->advance(Milliseconds(2000));
        assertShown(JobState::Running, *simulation_->holder());
        assertShown(JobState::Running, otherThanHolder());
    }

    void job_pendingForLong_isReadFromTheStoreOnceByEachInstance()
    {
        simulation_->plan = lasting;
        JobSpec large = CellSimulation::job("a");
        large.steps.front().need.processors = Millicores(1'000'000);
        CPPUNIT_ASSERT(simulation_->submitAndWait(*simulation_->holder(), large)
                       == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(500));
        int reads = 0;
        simulation_->storeDelivery = [&](const InstanceId &, const StoreRequest &request) {
            const auto *get = std::get_if<StoreGet>(&request);
            reads += get && get->key.type == RecordType::Jobs ? 1 : 0;
            return CellSimulation::Delivery::Delivered;
        };
        for (int i = 0; i < 10; ++i) {
            for (std::size_t instance = 0; instance < 3; ++instance)
                assertShown(JobState::Pending, instance);
            simulation_->advance(Milliseconds(200));
        }
        CPPUNIT_ASSERT_LESSEQUAL(3, reads);
    }

    void read_unansweredByTheHolder_isAnsweredWithoutIt()
    {
        simulation_->plan = lasting;
        const std::size_t restarted = otherThanHolder();
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(1000));
        simulation_->restart(restarted);
        simulation_->advance(Milliseconds(2000));
        simulation_->peerDelivery = [](const InstanceId &, const PeerMessage &message) {
            return std::holds_alternative<PeerCallerRequest>(message)
                    ? CellSimulation::Delivery::Dropped
                    : CellSimulation::Delivery::Delivered;
        };
        const TimePoint sentAt = simulation_->now();
        CPPUNIT_ASSERT(simulation_->stateOf(restarted, JobId("a")).has_value());
        CPPUNIT_ASSERT_LESS(std::int64_t(500), (simulation_->now() - sentAt).count());
        simulation_->peerDelivery = {};
        assertShown(JobState::Running, restarted);
    }

    void job_whoseEndWasLostBetweenTwoUpdates_isShownAsCompleted()
    {
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(1000));
        simulation_->peerDelivery = [](const InstanceId &, const PeerMessage &message) {
            const auto *update = std::get_if<PeerStateUpdate>(&message);
            const bool isEnd = update && !update->changed.empty()
                    && update->changed.front().state == JobState::Completed;
            return isEnd ? CellSimulation::Delivery::Dropped : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(4000));
        assertShown(JobState::Completed, otherThanHolder());
    }

    void job_whoseStartAFormerHolderAnnouncedLate_isShownAsCompleted()
    {
        const std::size_t holder = *simulation_->holder();
        const std::size_t other = otherThanHolder();
        submitAt(holder);
        simulation_->advance(Milliseconds(4000));
        simulation_->restart(other);
        simulation_->advance(Milliseconds(2000));
        PeerStateUpdate outdated;
        outdated.changed = {{JobId("a"), JobState::Running}};
        simulation_->instance(other).handle(
                simulation_->now(), WallTime(simulation_->now().sinceStart().count()),
                PeerFrame {{InstanceId("former"), 1}, {"10.0.0.9", 7000}, outdated});
        assertShown(JobState::Completed, other);
    }

    void job_completedWhileAnInstanceWasPaused_isShownAsCompletedThere()
    {
        CellSimulation &simulation = *simulation_;
        const std::size_t paused = *simulation.holder();
        CPPUNIT_ASSERT(simulation.submitAndWait(paused, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation.advance(Milliseconds(300));
        CPPUNIT_ASSERT(simulation.stateOf(paused, JobId("a")) == JobState::Running);
        simulation.pause(paused);
        simulation.advance(Milliseconds(6000));
        CPPUNIT_ASSERT(simulation.stateOf(*simulation.holder(), JobId("a")) == JobState::Completed);
        simulation.resume(paused);
        simulation.advance(Milliseconds(3000));
        CPPUNIT_ASSERT(simulation.stateOf(paused, JobId("a")) == JobState::Completed);
    }

    /// Guards against an answer that is taken for one to a request of the restarted process.
    void job_readThroughARestart_isNotShownByAnAnswerToTheEarlierProcess()
    {
        simulation_->plan = lasting;
        const std::size_t asking = otherThanHolder();
        submitAt(*simulation_->holder());
        simulation_->advance(Milliseconds(1000));
        std::vector<CallerRequestId> numbers;
        simulation_->peerDelivery = [&numbers](const InstanceId &, const PeerMessage &message) {
            const auto *question = std::get_if<PeerCallerRequest>(&message);
            if (!question)
                return CellSimulation::Delivery::Delivered;
            numbers.push_back(question->request.id);
            return CellSimulation::Delivery::Dropped;
        };
        for (int process = 0; process < 2; ++process) {
            simulation_->restart(asking);
            simulation_->advance(Milliseconds(2000));
            handleAt(asking,
                     CallerRequest {CallerRequestId(1), "host", "/q/a", ReadJob {JobId("a")},
                                    std::nullopt});
            simulation_->advance(Milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), numbers.size());
        CallerAnswer answer;
        answer.id = numbers.front();
        answer.outcome = CallerOutcome::State;
        answer.state = JobState::Completed;
        handleAt(asking, PeerFrame {{}, {}, PeerCallerAnswer {answer}});
        simulation_->peerDelivery = {};
        simulation_->advance(Milliseconds(1000));
        assertShown(JobState::Running, asking);
    }

    /// Guards against a state of an earlier term that a process announces in its next term.
    void job_whoseStartAnEarlierTermHadNotAnnounced_isShownAsCompleted()
    {
        const std::size_t first = *simulation_->holder();
        CPPUNIT_ASSERT(simulation_->submitAndWait(first, CellSimulation::job("b"))
                       == CallerOutcome::Accepted);
        const auto hasStarted
                = [&](const std::string &id) { return simulation_->startsOf(JobId(id)) > 0; };
        const Milliseconds limit(1000);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return hasStarted("b"); }, limit));
        simulation_->advance(Milliseconds(5));
        submitAt(first);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return hasStarted("a"); }, limit));
        simulation_->advance(Milliseconds(5));
        PeerStateUpdate announcement;
        announcement.generation = 1;
        handleAt(first, PeerFrame {{}, {}, announcement});
        simulation_->storeDelivery = [first](const InstanceId &id, const StoreRequest &) {
            return id == InstanceId(fmt::format("entry-{}", first))
                    ? CellSimulation::Delivery::Lost
                    : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(6000));
        simulation_->storeDelivery = {};
        simulation_->advance(Milliseconds(3000));
        const std::size_t second = simulation_->holder().value_or(first);
        CPPUNIT_ASSERT(second != first);
        const std::size_t asking = 3 - first - second;
        simulation_->processors[asking] = Millicores(100);
        simulation_->restart(asking);
        simulation_->advance(Milliseconds(2000));
        simulation_->kill(second);
        for (int i = 0; i < 5; ++i) {
            // Known to the next holder before it announces its first states.
            handleAt(first,
                     PeerFrame {{}, {fmt::format("10.0.0.{}", asking + 1), 7000}, PeerHello {}});
            simulation_->advance(Milliseconds(1000));
        }
        CPPUNIT_ASSERT(simulation_->holder() == first);
        assertShown(JobState::Completed, asking);
    }

private:
    static SimulatedWorker::RunPlan lasting(const TaskKey &, RunNumber)
    {
        return {Milliseconds(60'000), CompletionReason::Succeeded};
    }
    std::size_t otherThanHolder() const { return *simulation_->holder() == 0 ? 1 : 0; }
    void handleAt(std::size_t instance, const CellEvent &event)
    {
        const TimePoint now = simulation_->now();
        simulation_->instance(instance).handle(now, WallTime(now.sinceStart().count()), event);
    }
    void submitAt(std::size_t instance)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(instance, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
    }
    void assertShown(JobState expected, std::size_t instance)
    {
        const std::optional<JobState> state = simulation_->stateOf(instance, JobId("a"));
        CPPUNIT_ASSERT(state.has_value());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(*state));
    }

    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStateTest);

} // namespace caraway::tests
