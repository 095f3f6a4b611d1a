#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Workers that start again: a heartbeat acknowledges only what was read from the life it goes to.
class AcknowledgedIncarnationTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(AcknowledgedIncarnationTest);
    CPPUNIT_TEST(entry_ofAnEndedIncarnationThatTheHolderNeverCalled_losesNoRun);
    CPPUNIT_TEST(startReply_ofAnEarlierLifeWithTheSameStartTime_losesNoRun);
    CPPUNIT_TEST(ends_ofAWorkerWhoseEntryLacksItsStartTime_areNotAcknowledgedUnread);
    CPPUNIT_TEST(ends_afterALateReplyOfAnEndedIncarnation_areNotAcknowledgedUnread);
    CPPUNIT_TEST(
            ends_ofALifeWithTheSameStartTimeThatHasOnlyAnsweredStarts_areNotAcknowledgedUnread);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The time of day of the worker has stepped back, and a new holder reads it before the entry.
    void entry_ofAnEndedIncarnationThatTheHolderNeverCalled_losesNoRun()
    {
        start(3);
        restartAs(10);
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(1000));
        const WorkerEntry ended = simulation_->worker(0).entry;
        restartAs(5);
        replaceHolder();
        simulation_->advance(Milliseconds(3000));
        simulation_->publishWorker(0);
        run("a", 16, Milliseconds(4000));
        CPPUNIT_ASSERT(workersWithRuns().contains(0));
        simulation_->store().put({RecordType::Workers, ended.id.value()}, ended);
        simulation_->advance(Milliseconds(500));
        simulation_->publishWorker(0);
        assertCompletes("a");
    }

    /// A start's reply names no incarnation, and its clock is that of the earlier life.
    void startReply_ofAnEarlierLifeWithTheSameStartTime_losesNoRun()
    {
        start(3);
        simulation_->advance(Milliseconds(6000));
        simulation_->workerReplyDelay = [](const WorkerRequest &request) {
            const auto *command = std::get_if<WorkerStart>(&request.command);
            const bool isLate = command && command->task.job == JobId("cut");
            return isLate ? Milliseconds(650) : Milliseconds();
        };
        run("cut", 24, Milliseconds(100));
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return workersWithRuns().empty(); }, limit));
        restartAs(simulation_->worker(0).entry.incarnation.value());
        run("next", 24, Milliseconds(50));
        simulation_->advance(Milliseconds(50));
        run("a", 16, Milliseconds(4000));
        CPPUNIT_ASSERT(workersWithRuns().contains(0));
        assertCompletes("a");
    }

    void ends_ofAWorkerWhoseEntryLacksItsStartTime_areNotAcknowledgedUnread()
    {
        start(1);
        publishWithoutStartTime();
        completeSix();
        simulation_->worker(0).resetsConnections = false;
        restartAs(2);
        publishWithoutStartTime();
        run("a", 6, Milliseconds(50));
        assertCompletes("a");
    }

    /// The reply is not used, although its heartbeat has acknowledged ends.
    void ends_afterALateReplyOfAnEndedIncarnation_areNotAcknowledgedUnread()
    {
        start(1);
        restartAs(10);
        simulation_->publishWorker(0);
        simulation_->advance(Milliseconds(3000));
        completeSix();
        run("cut", 1, Milliseconds(300));
        simulation_->workerReplyDelay = [](const WorkerRequest &request) {
            const bool isLate = std::holds_alternative<WorkerHeartbeat>(request.command)
                    && request.incarnation == WorkerIncarnation(10);
            return isLate ? Milliseconds(600) : Milliseconds();
        };
        simulation_->advance(Milliseconds(350));
        restartAs(5);
        durations_[JobId("a")] = Milliseconds(50);
        submit(CellSimulation::job("a", 6));
        simulation_->advance(Milliseconds(50));
        simulation_->publishWorker(0);
        assertCompletes("a");
        CPPUNIT_ASSERT(logged("event=worker_acknowledgement_unused") > 0);
    }

    /// Only the replies to starts, which are not used, come from the next life before the hold.
    void ends_ofALifeWithTheSameStartTimeThatHasOnlyAnsweredStarts_areNotAcknowledgedUnread()
    {
        start(1);
        simulation_->advance(Milliseconds(6000));
        completeSix();
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &request) {
            return std::holds_alternative<WorkerHeartbeat>(request.command)
                    ? CellSimulation::Delivery::Lost
                    : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(1550));
        restartAs(simulation_->worker(0).entry.incarnation.value());
        run("a", 6, Milliseconds(50));
        simulation_->workerDelivery = nullptr;
        assertCompletes("a");
    }

private:
    static constexpr Milliseconds limit {30'000};

    void start(std::size_t workers)
    {
        startCell(workers);
        workers_ = workers;
        durations_.clear();
        simulation_->plan = [this](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {durations_.at(task.job), CompletionReason::Succeeded};
        };
        for (std::size_t i = 0; i < workers; ++i)
            simulation_->worker(i).stopDuration = Milliseconds(300);
        awaitHolder();
        simulation_->advance(Milliseconds(2000));
    }
    void run(const std::string &id, std::int64_t tasks, Milliseconds duration)
    {
        durations_[JobId(id)] = duration;
        submit(CellSimulation::job(id, tasks));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId(id)) > 0; }, limit));
        simulation_->advance(Milliseconds(20));
    }
    /// Ends of the present life of the first worker, which the holder acknowledges.
    void completeSix()
    {
        run("earlier", 6, Milliseconds(50));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return isCompleted(JobId("earlier")) && unacknowledged() == 0; }, limit));
    }
    std::size_t unacknowledged() const { return simulation_->worker(0).unacknowledged(); }
    void restartAs(std::uint64_t incarnation)
    {
        simulation_->worker(0).restart(simulation_->now());
        simulation_->worker(0).entry.incarnation = WorkerIncarnation(incarnation);
    }
    void publishWithoutStartTime()
    {
        WorkerEntry entry = simulation_->worker(0).entry;
        entry.incarnation = {};
        simulation_->store().put({RecordType::Workers, entry.id.value()}, entry);
    }
    void assertCompletes(const std::string &id)
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return isCompleted(JobId(id)); }, limit));
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsAfterSuccess());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        for (std::size_t i = 0; i < workers_; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->worker(i).acknowledgedUnlisted());
    }

    std::size_t workers_ = 0;
    std::map<JobId, Milliseconds> durations_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcknowledgedIncarnationTest);

} // namespace caraway::tests
