#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Sound and crashing tasks on workers that lose power together.
class PowerCutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PowerCutTest);
    CPPUNIT_TEST(soundTask_underFivePowerCutsOfAllWorkers_completes);
    CPPUNIT_TEST(soundTask_underFivePowerCutsOfHalfOfTheWorkers_completes);
    CPPUNIT_TEST(soundTasks_onAllWorkersUnderFivePowerCuts_complete);
    CPPUNIT_TEST(soundTasks_underFivePowerCutsWithTheHolder_complete);
    CPPUNIT_TEST(soundJobs_besideACrashingJobDuringAPowerCut_complete);
    CPPUNIT_TEST(crashingJobs_coincidingOnEightWorkers_failWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isBad = task.job.value().starts_with("bad");
            return SimulatedWorker::RunPlan {Milliseconds(4000), CompletionReason::Succeeded,
                                             isBad ? std::optional(Milliseconds(700))
                                                   : std::nullopt};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(1000));
    }

    /// Guards against a job that is shown as failed although its workers lost power with others.
    void soundTask_underFivePowerCutsOfAllWorkers_completes()
    {
        submit("sound", 1);
        for (int cut = 1; cut <= cuts; ++cut) {
            awaitRuns(1);
            cutPower(workers);
        }
        assertEnd("sound", 1, JobState::Completed);
    }

    void soundTask_underFivePowerCutsOfHalfOfTheWorkers_completes()
    {
        submit("sound", 1);
        for (int cut = 1; cut <= cuts; ++cut) {
            awaitRuns(1);
            cutPower(workers / 2);
        }
        assertEnd("sound", 1, JobState::Completed);
    }

    void soundTasks_onAllWorkersUnderFivePowerCuts_complete()
    {
        submit("sound", manyJobs);
        for (int cut = 1; cut <= cuts; ++cut) {
            awaitRuns(manyJobs);
            cutPower(workers);
        }
        assertEnd("sound", manyJobs, JobState::Completed);
    }

    void soundTasks_underFivePowerCutsWithTheHolder_complete()
    {
        submit("sound", manyJobs);
        for (int cut = 1; cut <= cuts; ++cut) {
            awaitRuns(manyJobs);
            cutPower(workers);
            const std::size_t former = *simulation_->holder();
            simulation_->kill(former);
            simulation_->advance(Milliseconds(3000));
            simulation_->restart(former);
            awaitHolder();
        }
        assertEnd("sound", manyJobs, JobState::Completed);
    }

    void soundJobs_besideACrashingJobDuringAPowerCut_complete()
    {
        submit("sound", manyJobs / 2);
        submit("bad", 1);
        for (int cut = 1; cut <= cuts; ++cut) {
            awaitRuns(manyJobs / 4);
            cutPower(workers);
        }
        assertEnd("sound", manyJobs / 2, JobState::Completed);
        assertEnd("bad", 1, JobState::Failed);
    }

    void crashingJobs_coincidingOnEightWorkers_failWithinTheBudget()
    {
        constexpr std::size_t badJobs = 4;
        submit("bad", badJobs);
        submit("sound", manyJobs / 2);
        assertEnd("bad", badJobs, JobState::Failed);
        assertEnd("sound", manyJobs / 2, JobState::Completed);
        for (std::size_t i = 0; i < badJobs; ++i) {
            const JobId job("bad" + std::to_string(i));
            CPPUNIT_ASSERT_LESSEQUAL(maxStarts, simulation_->startsOf(job));
        }
    }

private:
    static constexpr std::size_t workers = 8;
    static constexpr std::size_t manyJobs = 16;
    static constexpr int cuts = 5;
    /// Three that crash a worker, and two further ones.
    static constexpr std::size_t maxStarts = 5;
    static constexpr Milliseconds longWait {90'000};

    void awaitHolder()
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
    }
    void submit(const std::string &name, std::size_t jobs)
    {
        for (std::size_t i = 0; i < jobs; ++i) {
            const JobSpec job = CellSimulation::job(name + std::to_string(i));
            CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
        }
    }
    std::size_t runs(std::size_t worker) const
    {
        return simulation_->worker(worker).running().size();
    }
    void awaitRuns(std::size_t count)
    {
        const auto hasRuns = [&] {
            std::size_t sum = 0;
            for (std::size_t i = 0; i < workers; ++i)
                sum += runs(i);
            return sum >= count;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil(hasRuns, longWait));
        simulation_->advance(Milliseconds(500));
    }
    /// Crashes \a count workers at once, those with runs first.
    void cutPower(std::size_t count)
    {
        std::vector<std::size_t> order(workers);
        for (std::size_t i = 0; i < workers; ++i)
            order[i] = i;
        std::stable_sort(order.begin(), order.end(),
                         [&](std::size_t a, std::size_t b) { return runs(a) > runs(b); });
        for (std::size_t i = 0; i < count; ++i)
            simulation_->worker(order[i]).crash(simulation_->now());
    }
    void assertEnd(const std::string &name, std::size_t jobs, JobState expected)
    {
        for (std::size_t i = 0; i < jobs; ++i) {
            const JobId job(name + std::to_string(i));
            std::optional<JobState> state;
            simulation_->advanceUntil(
                    [&] {
                        state = simulation_->stateOf(0, job);
                        return state && isFinal(*state);
                    },
                    longWait);
            CPPUNIT_ASSERT_MESSAGE(job.value(), state == expected);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerCutTest);

} // namespace caraway::tests
