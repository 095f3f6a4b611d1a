#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Tasks that last, beside a backlog of other work. A service whose tasks have ended is to be whole
/// again within seconds, however long ago the job was accepted.
class LongRunningTaskTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTaskTest);
    CPPUNIT_TEST(tasks_failingBesideABacklogOfTheirQueue_startAgainInTime);
    CPPUNIT_TEST(tasks_failingBesideABacklogThatNeedsApprovals_startAgainInTime);
    CPPUNIT_TEST(tasks_failingBesideUrgentArrivals_startAgainInTime);
    CPPUNIT_TEST(tasks_losingTheirWorkerBesideABacklog_startAgainAfterTheLease);
    CPPUNIT_TEST(tasks_afterATakeover_keepTheLimitPerWorker);
    CPPUNIT_TEST(otherJobs_besideLongRunningOnes_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        simulation_->plan = [](const TaskKey &task, RunNumber run) {
            if (!task.job.value().starts_with("service"))
                return SimulatedWorker::RunPlan {Milliseconds(2000), CompletionReason::Succeeded};
            const bool isFirst = run == RunNumber(1);
            return SimulatedWorker::RunPlan {isFirst ? firstFailure : Milliseconds(600'000),
                                             CompletionReason::Failed};
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
    }

    void tasks_failingBesideABacklogOfTheirQueue_startAgainInTime()
    {
        startService(2);
        advanceBesideArrivals(firstFailure + limit, "host", backlogTasks);
        assertStartAgainInTime();
    }

    void tasks_failingBesideABacklogThatNeedsApprovals_startAgainInTime()
    {
        simulation_->approves = [](const StepKey &step, const WorkerId &worker) {
            return !step.job.value().starts_with("service") || worker != WorkerId("worker-0");
        };
        changeConfiguration([](CellConfiguration &configuration) {
            configuration.queues.front().approval
                    = ApprovalSettings {Milliseconds(20), 100, Milliseconds(2000)};
        });
        startService(2);
        advanceBesideArrivals(firstFailure + limit, "host", backlogTasks);
        assertStartAgainInTime();
    }

    /// Headroom for urgent work must not keep a service away.
    void tasks_failingBesideUrgentArrivals_startAgainInTime()
    {
        changeConfiguration([](CellConfiguration &configuration) {
            configuration.queues.front().priority = 1;
            Queue urgent = configuration.queues.front();
            urgent.id = QueueId("urgent");
            urgent.host = "urgent";
            urgent.priority = 0;
            configuration.queues.push_back(urgent);
        });
        startService(2);
        advanceBesideArrivals(firstFailure + limit, "urgent", urgentTasks);
        assertStartAgainInTime();
    }

    void tasks_losingTheirWorkerBesideABacklog_startAgainAfterTheLease()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isService = task.job.value().starts_with("service");
            return SimulatedWorker::RunPlan {Milliseconds(isService ? 600'000 : 2000),
                                             CompletionReason::Succeeded};
        };
        startService(2);
        advanceBesideArrivals(firstFailure, "host", backlogTasks);
        const std::size_t before = simulation_->starts().size();
        simulation_->removeWorker(simulation_->indexOf(simulation_->starts().front().worker));
        const Milliseconds lease(7000);
        advanceBesideArrivals(lease + limit, "host", backlogTasks);
        CPPUNIT_ASSERT_EQUAL(serviceTasks, runningServiceTasks());
        CPPUNIT_ASSERT_LESS(simulation_->starts().size(), before);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void tasks_afterATakeover_keepTheLimitPerWorker()
    {
        startService(1);
        advanceBesideArrivals(Milliseconds(2000), "host", backlogTasks);
        const std::size_t first = *simulation_->holder();
        simulation_->kill(first);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->restart(first);
        advanceBesideArrivals(firstFailure + limit, "host", backlogTasks);
        CPPUNIT_ASSERT_EQUAL(serviceTasks, runningServiceTasks());
        for (std::size_t i = 0; i < workers; ++i)
            CPPUNIT_ASSERT_LESSEQUAL(std::size_t(1), serviceTasksOn(i));
    }

    void otherJobs_besideLongRunningOnes_complete()
    {
        startService(2);
        simulation_->submitAndWait(0, CellSimulation::job("other", 40));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->stateOf(0, JobId("other")) == JobState::Completed; },
                longWait));
    }

private:
    static constexpr std::size_t workers = 4;
    static constexpr std::size_t serviceTasks = 4;
    static constexpr Milliseconds longWait {20'000};
    /// Several times the objective of the queue's jobs.
    static constexpr Milliseconds firstFailure {12'000};
    /// How long a task may be away while there is capacity for it.
    static constexpr Milliseconds limit {3000};
    static constexpr Milliseconds arrivalInterval {250};
    /// Of a job that arrives beside the service; twice what the fleet completes in the interval.
    static constexpr std::int64_t backlogTasks = 8;
    /// Three quarters of what the fleet completes in the interval.
    static constexpr std::int64_t urgentTasks = 3;

    template<class Change>
    void changeConfiguration(Change change)
    {
        change(simulation_->configuration);
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(1000));
    }

    void startService(std::int64_t maxPerWorker)
    {
        JobSpec job = CellSimulation::job("service", static_cast<std::int64_t>(serviceTasks));
        job.steps.front().longRunning = true;
        job.steps.front().maxPerWorker = maxPerWorker;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return runningServiceTasks() == serviceTasks; }, limit));
    }

    /// Advances while jobs of this many tasks arrive.
    void advanceBesideArrivals(Milliseconds duration, const std::string &host, std::int64_t tasks)
    {
        const TimePoint end = simulation_->now() + duration;
        while (simulation_->now() < end) {
            const std::string name = "other-" + std::to_string(arrivals_++);
            simulation_->submit(*simulation_->holder(), CellSimulation::job(name, tasks), host);
            simulation_->advance(arrivalInterval);
        }
    }

    std::size_t serviceTasksOn(std::size_t worker) const
    {
        const auto &running = simulation_->worker(worker).running();
        return static_cast<std::size_t>(
                std::count_if(running.begin(), running.end(), [](const auto &run) {
                    return run.task.job.value().starts_with("service");
                }));
    }

    std::size_t runningServiceTasks() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < workers; ++i)
            count += serviceTasksOn(i);
        return count;
    }

    void assertStartAgainInTime()
    {
        const auto &starts = simulation_->starts();
        const TimePoint failure = starts.front().startedAt + firstFailure;
        if (simulation_->now() < failure + limit)
            simulation_->advance(failure + limit - simulation_->now());
        for (std::size_t task = 0; task < serviceTasks; ++task) {
            std::optional<Milliseconds> away;
            std::optional<TimePoint> endedAt;
            for (const CellSimulation::ObservedRun &run : starts) {
                if (run.task.job != JobId("service") || run.task.index != TaskIndex(task))
                    continue;
                if (endedAt)
                    away = run.startedAt - *endedAt;
                else
                    endedAt = run.completedAt;
            }
            const std::string name = "task " + std::to_string(task);
            CPPUNIT_ASSERT_MESSAGE(name + " has not failed", endedAt.has_value());
            CPPUNIT_ASSERT_MESSAGE(name + " was not started again", away.has_value());
            CPPUNIT_ASSERT_MESSAGE(name + " was away for " + std::to_string(away->count()) + " ms",
                                   *away <= limit);
        }
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t arrivals_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTaskTest);

} // namespace caraway::tests
