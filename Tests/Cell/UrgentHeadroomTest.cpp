#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace caraway::tests {

using namespace cell;

/// Headroom for urgent jobs that are due at certain times.
class UrgentHeadroomTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(UrgentHeadroomTest);
    CPPUNIT_TEST(worker_afterATakeoverWithUrgentJobsDueTomorrow_isNotKeptForThem);
    CPPUNIT_TEST(dueSteps_ofARecurringJob_areTakenOnceWhenDue);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against headroom for work that can't start yet, which keeps other queues off a
    /// worker.
    void worker_afterATakeoverWithUrgentJobsDueTomorrow_isNotKeptForThem()
    {
        constexpr std::int64_t day = 86'400'000;
        constexpr int urgentJobs = 6;
        startCell(4);
        Queue later = simulation_->configuration.queues.front();
        later.id = QueueId("later");
        later.host = "later";
        later.priority = 2;
        simulation_->configuration.queues.push_back(later);
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->worker(0).entry.labels.emplace_back("rare");
        simulation_->publishWorkers();
        awaitHolder();
        simulation_->advance(Milliseconds(2000));
        for (int i = 0; i < urgentJobs; ++i) {
            JobSpec urgent = recurringJob(fmt::format("urgent-{}", i));
            urgent.schedule.firstDue = WallTime(simulation_->now().sinceStart().count() + day);
            submit(urgent);
        }
        simulation_->advance(Milliseconds(30'000));
        replaceHolder();
        simulation_->advance(Milliseconds(1000));
        JobSpec job = CellSimulation::job("later");
        job.steps.front().requiredLabel = Label("rare");
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, job, "later") == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->startsOf(job.id) > 0; },
                                                 Milliseconds(3000)));
    }

    void dueSteps_ofARecurringJob_areTakenOnceWhenDue()
    {
        AcceptedJob accepted;
        accepted.spec = recurringJob("job");
        accepted.spec.schedule.firstDue = WallTime(1000);
        CellJob job(accepted, {}, TimePoint());
        CPPUNIT_ASSERT(job.takeDueSteps(WallTime(999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), job.takeDueSteps(WallTime(1000)).size());
        CPPUNIT_ASSERT(job.takeDueSteps(WallTime(1000)).empty());
        CPPUNIT_ASSERT_EQUAL(repetitions - 1, job.takeDueSteps(WallTime(100'000)).size());
    }

private:
    static constexpr std::size_t repetitions = 6;

    static JobSpec recurringJob(const std::string &id)
    {
        JobSpec job = CellSimulation::job(id, 12);
        job.schedule.runs = repetitions;
        job.schedule.interval = Milliseconds(4500);
        return job;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgentHeadroomTest);

} // namespace caraway::tests
