#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace caraway::tests {

using namespace cell;

/// Jobs behind a gang that can't start.
class GangReservationTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(GangReservationTest);
    CPPUNIT_TEST(job_behindAGangThatDoesNotFitBesideLongRunningTasks_starts);
    CPPUNIT_TEST(job_behindSuchAGangAfterATakeover_starts);
    CPPUNIT_TEST(gang_afterLongRunningTasksHaveEnded_startsBeforeLaterJobs);
    CPPUNIT_TEST(job_ofAnAccountWhoseGangFitsNowhere_startsBelowTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        simulation_->configuration.queues.front().objective = Milliseconds(20'000);
        publish();
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isSmall = task.job.value().starts_with("small");
            return SimulatedWorker::RunPlan {Milliseconds(isSmall ? 1500 : 600'000),
                                             CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(2000));
    }

    /// Guards against a gang that keeps free capacity from other jobs although the capacity that it
    /// lacks is in use for good.
    void job_behindAGangThatDoesNotFitBesideLongRunningTasks_starts()
    {
        submit(longRunningJob());
        simulation_->advance(Milliseconds(2000));
        submit(wideGang());
        simulation_->advance(Milliseconds(1000));
        assertStarts("small");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("gang")));
    }

    void job_behindSuchAGangAfterATakeover_starts()
    {
        submit(longRunningJob());
        simulation_->advance(Milliseconds(2000));
        submit(wideGang());
        replaceHolder();
        simulation_->advance(Milliseconds(10'000));
        assertStarts("small");
    }

    /// Guards against a gang that waits for ever behind a stream of small jobs.
    void gang_afterLongRunningTasksHaveEnded_startsBeforeLaterJobs()
    {
        submit(longRunningJob());
        simulation_->advance(Milliseconds(2000));
        submit(wideGang());
        std::size_t jobs = 0;
        const auto submitSmall = [&](std::size_t count) {
            for (; count > 0; --count) {
                simulation_->submit(0, CellSimulation::job(fmt::format("small-{}", jobs++), 8));
                simulation_->advance(Milliseconds(200));
            }
        };
        submitSmall(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("gang")));
        simulation_->cancel(0, JobId("long"));
        submitSmall(40);
        CPPUNIT_ASSERT_EQUAL(std::size_t(members), simulation_->startsOf(JobId("gang")));
    }

    void job_ofAnAccountWhoseGangFitsNowhere_startsBelowTheCap()
    {
        ClientAccount account;
        account.id = AccountId("account");
        account.keys = {AccountKey("key")};
        account.cap.processors = Millicores(4000);
        simulation_->configuration.hasAccounts = true;
        simulation_->configuration.accounts = {account};
        publish();
        simulation_->advance(Milliseconds(2000));
        simulation_->key = account.keys.front();
        submit(CellSimulation::job("filler"));
        simulation_->advance(Milliseconds(1000));
        JobSpec gang = CellSimulation::job("gang", 4);
        gang.steps.front().gang = true;
        gang.steps.front().requiredLabel = Label("absent");
        submit(gang);
        simulation_->advance(Milliseconds(1000));
        assertStarts("small");
    }

private:
    static constexpr std::size_t workers = 7;
    static constexpr std::int64_t members = 8;
    /// Half of a worker.
    static constexpr Millicores half {4000};

    void publish()
    {
        CellConfiguration &configuration = simulation_->configuration;
        configuration.version = configuration.version.next();
        simulation_->publishConfiguration();
    }
    /// Uses half of each worker.
    static JobSpec longRunningJob()
    {
        JobSpec job = CellSimulation::job("long", workers);
        job.steps.front().longRunning = true;
        job.steps.front().need.processors = half;
        job.steps.front().maxPerWorker = 1;
        return job;
    }
    /// Needs one half more than the other job leaves free.
    static JobSpec wideGang()
    {
        JobSpec gang = CellSimulation::job("gang", members);
        gang.steps.front().gang = true;
        gang.steps.front().need.processors = half;
        return gang;
    }
    void assertStarts(const std::string &job)
    {
        submit(CellSimulation::job(job));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId(job)) > 0; }, Milliseconds(3000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangReservationTest);

} // namespace caraway::tests
