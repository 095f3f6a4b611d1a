#include "Cell/CellSimulation.h"
#include "Cell/WorkerLimits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace caraway::tests {

using namespace cell;

/// Tasks that crash the workers that start them, and sound tasks beside them.
class CrashingTaskTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingTaskTest);
    CPPUNIT_TEST(job_crashingItsWorkerLater_failsWithinTheBudget);
    CPPUNIT_TEST(job_crashingItsWorkerAtTheStart_failsWithinTheBudget);
    CPPUNIT_TEST(job_onWorkersRefusingConnectionsAfterACrash_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseWorkersReturnAfterTheirLease_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseWorkersLoseTheirEntriesInACrash_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseWorkersReturnUnderOtherNames_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseWorkersDoNotReturn_isNotFailedAndStartsOncePerLease);
    CPPUNIT_TEST(job_whoseHolderIsLostWithAWorkerThatReturnsLate_countsItsCrash);
    CPPUNIT_TEST(gang_withOneCrashingMember_failsWithinTheBudget);
    CPPUNIT_TEST(gang_whoseMembersAllCrashTheirWorkers_failsWithinTheBudget);
    CPPUNIT_TEST(step_withOneCrashingTask_failsWithinTheBudget);
    CPPUNIT_TEST(step_whoseTasksAllCrashTheirWorkers_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseHolderIsLostBetweenCrashes_failsWithinTheBudget);
    CPPUNIT_TEST(job_whoseHolderIsLostWithACrash_failsWithinTheBudget);
    CPPUNIT_TEST(job_onBusyWorkersWhoseHolderIsLostWithACrash_failsWithinTheBudget);
    CPPUNIT_TEST(gang_onBusyWorkersWhoseHolderIsLostWithACrash_failsWithinTheBudget);
    CPPUNIT_TEST(soundJobs_besideCrashingJobs_complete);
    CPPUNIT_TEST(soundJobs_besideCrashingJobsWhileHoldersAreLost_complete);
    CPPUNIT_TEST(soundJobs_besideACrashingGang_complete);
    CPPUNIT_TEST(soundJobs_afterRepeatedPowerCuts_complete);
    CPPUNIT_TEST(soundJobs_onWorkersCutOffAndBack_complete);
    CPPUNIT_TEST(soundJobs_onLeavingWorkers_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { startCell(8); }

    void tearDown() override { simulation_.reset(); }

    void job_crashingItsWorkerLater_failsWithinTheBudget()
    {
        simulation_->plan = crashing("bad", Milliseconds(700));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        assertFailsWithinBudget("bad");
    }

    void job_crashingItsWorkerAtTheStart_failsWithinTheBudget()
    {
        simulation_->plan = crashing("bad", Milliseconds(0));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        assertFailsWithinBudget("bad");
    }

    void job_onWorkersRefusingConnectionsAfterACrash_failsWithinTheBudget()
    {
        simulation_->deliveryWhileDown = CellSimulation::Delivery::NotSent;
        simulation_->plan = crashing("bad", Milliseconds(200));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        assertFailsWithinBudget("bad");
    }

    void job_whoseWorkersReturnAfterTheirLease_failsWithinTheBudget()
    {
        setDowntime(Milliseconds(9000));
        simulation_->plan = crashing("bad", Milliseconds(200));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        assertFailsWithinBudget("bad");
    }

    void job_whoseWorkersLoseTheirEntriesInACrash_failsWithinTheBudget()
    {
        for (const Milliseconds downtime : {Milliseconds(3000), Milliseconds(9000)}) {
            startCell(8);
            simulation_->removesEntriesOnCrash = true;
            setDowntime(downtime);
            simulation_->plan = crashing("bad", Milliseconds(200));
            simulation_->submitAndWait(0, CellSimulation::job("bad"));
            assertFailsWithinBudget("bad");
        }
    }

    void job_whoseWorkersReturnUnderOtherNames_failsWithinTheBudget()
    {
        for (const Milliseconds downtime : {Milliseconds(3000), Milliseconds(9000)}) {
            startCell(8);
            simulation_->renamesOnReturn = true;
            setDowntime(downtime);
            simulation_->plan = crashing("bad", Milliseconds(200));
            simulation_->submitAndWait(0, CellSimulation::job("bad"));
            assertFailsWithinBudget("bad");
        }
    }

    /// Workers that never return may be cut off as well as crashed.
    void job_whoseWorkersDoNotReturn_isNotFailedAndStartsOncePerLease()
    {
        constexpr std::size_t lostWorkers = 6;
        // The lease may have been renewed before the start, by a heartbeat that waits.
        const Milliseconds interval = CellSettings().workerLease - heartbeatWait;
        simulation_->removesEntriesOnCrash = true;
        setDowntime(Milliseconds(600'000));
        std::size_t starts = 0;
        simulation_->plan = [&starts](const TaskKey &, RunNumber) {
            return ++starts <= lostWorkers ? crashAfter(Milliseconds(10))
                                           : soundRun(Milliseconds(500));
        };
        simulation_->submitAndWait(0, CellSimulation::job("sound"));
        const bool isCompleted = simulation_->advanceUntil(
                [&] { return simulation_->stateOf(0, JobId("sound")) == JobState::Completed; },
                giveUpWait);
        CPPUNIT_ASSERT(isCompleted);
        const std::vector<CellSimulation::ObservedRun> &runs = simulation_->starts();
        CPPUNIT_ASSERT_EQUAL(lostWorkers + 1, runs.size());
        for (std::size_t i = 1; i < runs.size(); ++i)
            CPPUNIT_ASSERT(runs[i].startedAt - runs[i - 1].startedAt >= interval);
    }

    void job_whoseHolderIsLostWithAWorkerThatReturnsLate_countsItsCrash()
    {
        simulation_->removesEntriesOnCrash = true;
        setDowntime(Milliseconds(9000));
        simulation_->plan = crashing("bad", Milliseconds(10));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        simulation_->advanceUntil([&] { return crashesOf("bad") == 2; }, longWait);
        simulation_->advance(Milliseconds(1500));
        replaceHolder();
        assertFailsWithinBudget("bad");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), highestCount("bad").starts);
    }

    void gang_withOneCrashingMember_failsWithinTheBudget()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isBad = task.job == JobId("bad") && task.index == TaskIndex(2);
            return isBad ? crashAfter(Milliseconds(500)) : soundRun(Milliseconds(4000));
        };
        simulation_->submitAndWait(0, gang("bad", 20));
        assertFailsWithinBudget("bad");
    }

    void gang_whoseMembersAllCrashTheirWorkers_failsWithinTheBudget()
    {
        simulation_->plan = crashing("bad", Milliseconds(500));
        simulation_->submitAndWait(0, gang("bad", 20));
        assertFailsWithinBudget("bad");
    }

    void step_withOneCrashingTask_failsWithinTheBudget()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isBad = task.job == JobId("bad") && task.index == TaskIndex(2);
            return isBad ? crashAfter(Milliseconds(500)) : soundRun(Milliseconds(4000));
        };
        simulation_->submitAndWait(0, CellSimulation::job("bad", 20));
        assertFailsWithinBudget("bad");
    }

    void step_whoseTasksAllCrashTheirWorkers_failsWithinTheBudget()
    {
        simulation_->plan = crashing("bad", Milliseconds(500));
        simulation_->submitAndWait(0, CellSimulation::job("bad", 20));
        assertFailsWithinBudget("bad");
    }

    void job_whoseHolderIsLostBetweenCrashes_failsWithinTheBudget()
    {
        simulation_->plan = crashing("bad", Milliseconds(1500));
        simulation_->submitAndWait(0, CellSimulation::job("bad"));
        for (std::size_t crashes = 1; crashes <= 3; ++crashes) {
            simulation_->advanceUntil([&] { return crashesOf("bad") >= crashes; }, longWait);
            simulation_->advanceUntil([&] { return simulation_->startsOf(JobId("bad")) > crashes; },
                                      longWait);
            simulation_->advance(Milliseconds(500));
            replaceHolder();
        }
        assertFailsWithinBudget("bad");
    }

    void job_whoseHolderIsLostWithACrash_failsWithinTheBudget()
    {
        for (std::size_t lostWith = 1; lostWith <= 3; ++lostWith) {
            startCell(8);
            simulation_->plan = crashing("bad", Milliseconds(500));
            simulation_->submitAndWait(0, CellSimulation::job("bad"));
            simulation_->advanceUntil([&] { return crashesOf("bad") >= lostWith; }, longWait);
            replaceHolder();
            assertFailsWithinBudget("bad");
        }
    }

    void job_onBusyWorkersWhoseHolderIsLostWithACrash_failsWithinTheBudget()
    {
        playOnBusyWorkers(CellSimulation::job("bad"));
    }

    void gang_onBusyWorkersWhoseHolderIsLostWithACrash_failsWithinTheBudget()
    {
        playOnBusyWorkers(gang("bad", 10));
    }

    void soundJobs_besideCrashingJobs_complete() { playMixedJobs(0); }
    void soundJobs_besideCrashingJobsWhileHoldersAreLost_complete() { playMixedJobs(2); }

    void soundJobs_besideACrashingGang_complete()
    {
        std::string seen;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            startCell(8);
            std::mt19937 random(seed);
            setDowntime(Milliseconds(seed % 3 ? 4000 : 8000));
            const Milliseconds crashAt = milliseconds(seed % 4 * 300UL);
            simulation_->plan = [crashAt](const TaskKey &task, RunNumber) {
                if (task.job.value().starts_with("bad"))
                    return crashAfter(crashAt);
                return soundRun(milliseconds(500 + task.index.value() * 500));
            };
            std::vector<std::string> sound;
            std::vector<std::string> bad;
            for (std::size_t i = 0; i < 16; ++i) {
                const bool isBad = i % 8 == 4;
                std::vector<std::string> &names = isBad ? bad : sound;
                names.push_back((isBad ? "bad" : "sound") + std::to_string(i));
                const std::int64_t tasks = isBad ? 10 : static_cast<std::int64_t>(random() % 8) + 1;
                simulation_->submit(0,
                                    isBad || i % 3 == 0 ? gang(names.back(), tasks)
                                                        : CellSimulation::job(names.back(), tasks));
                simulation_->advance(milliseconds(random() % 1000));
            }
            seen += deviations(sound, bad, "seed " + std::to_string(seed));
        }
        CPPUNIT_ASSERT_MESSAGE(seen, seen.empty());
    }

    void soundJobs_afterRepeatedPowerCuts_complete()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) { return soundRun(Milliseconds(4000)); };
        simulation_->submitAndWait(0, gang("gang", 8));
        simulation_->submitAndWait(0, CellSimulation::job("single"));
        simulation_->submitAndWait(0, CellSimulation::job("many", 8));
        for (std::size_t cut = 1; cut <= 3; ++cut) {
            simulation_->advanceUntil([&] { return hasRuns("gang") && hasRuns("single"); },
                                      longWait);
            simulation_->advance(Milliseconds(300));
            for (std::size_t i = 0; i < workers_; ++i)
                simulation_->worker(i).crash(simulation_->now());
        }
        assertCompleteAndFail({"gang", "single", "many"}, {}, "power cuts");
    }

    void soundJobs_onWorkersCutOffAndBack_complete()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) { return soundRun(Milliseconds(4000)); };
        simulation_->submitAndWait(0, gang("gang", 8));
        simulation_->submitAndWait(0, CellSimulation::job("single"));
        for (std::size_t cut = 1; cut <= 4; ++cut) {
            simulation_->advanceUntil([&] { return hasRuns("gang") && hasRuns("single"); },
                                      longWait);
            simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &) {
                return CellSimulation::Delivery::Lost;
            };
            simulation_->advance(Milliseconds(cut % 2 ? 9000 : 4000));
            simulation_->workerDelivery = {};
        }
        assertCompleteAndFail({"gang", "single"}, {}, "cut off");
    }

    void soundJobs_onLeavingWorkers_complete()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) { return soundRun(Milliseconds(6000)); };
        simulation_->submitAndWait(0, CellSimulation::job("single"));
        for (std::size_t leaving = 0; leaving < 5; ++leaving) {
            simulation_->advanceUntil([&] { return hasRuns("single"); }, longWait);
            const std::size_t worker = simulation_->indexOf(simulation_->starts().back().worker);
            simulation_->announceLeaving(worker, Milliseconds(1000));
            simulation_->advance(Milliseconds(1000));
            simulation_->removeWorker(worker);
        }
        assertCompleteAndFail({"single"}, {}, "leaving");
    }

private:
    static constexpr Milliseconds longWait {20'000};
    /// Several times as long as the crashes and leases of the runs that the budget allows.
    static constexpr Milliseconds giveUpWait {90'000};
    static constexpr unsigned seeds = 20;
    /// Starts that may follow after the third crash of a worker under a task.
    static constexpr std::size_t maxFurtherStarts = 2;

    static Milliseconds milliseconds(std::uint64_t count)
    {
        return Milliseconds(static_cast<std::int64_t>(count));
    }
    static SimulatedWorker::RunPlan soundRun(Milliseconds duration)
    {
        return {duration, CompletionReason::Succeeded};
    }
    static SimulatedWorker::RunPlan crashAfter(Milliseconds delay)
    {
        return {Milliseconds(60'000), CompletionReason::Succeeded, delay};
    }
    static std::function<SimulatedWorker::RunPlan(const TaskKey &, RunNumber)>
    crashing(const std::string &job, Milliseconds delay)
    {
        return [id = JobId(job), delay](const TaskKey &task, RunNumber) {
            return task.job == id ? crashAfter(delay) : soundRun(Milliseconds(500));
        };
    }
    static JobSpec gang(const std::string &id, std::int64_t members)
    {
        JobSpec job = CellSimulation::job(id, members);
        job.steps.front().gang = true;
        return job;
    }

    void startCell(std::size_t workers)
    {
        workers_ = workers;
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
    }

    void setDowntime(Milliseconds downtime)
    {
        for (std::size_t i = 0; i < workers_; ++i)
            simulation_->worker(i).downtime = downtime;
    }

    void replaceHolder()
    {
        const std::optional<std::size_t> first = simulation_->holder();
        if (!first)
            return;
        simulation_->kill(*first);
        simulation_->advanceUntil([&] { return simulation_->holder().has_value(); }, longWait);
        simulation_->restart(*first);
    }

    bool hasRuns(const std::string &job) const
    {
        const std::vector<CellSimulation::ObservedRun> &starts = simulation_->starts();
        return std::any_of(starts.begin(), starts.end(), [&](const auto &row) {
            return row.task.job == JobId(job) && !row.completedAt;
        });
    }

    std::size_t crashesOf(const std::string &job) const
    {
        const std::vector<CellSimulation::ObservedRun> &starts = simulation_->starts();
        return static_cast<std::size_t>(
                std::count_if(starts.begin(), starts.end(), [&](const auto &row) {
                    return row.task.job == JobId(job) && row.crashed;
                }));
    }

    /// Four jobs that crash workers among 40, with random changes of the holder.
    void playMixedJobs(std::size_t holderLosses)
    {
        std::string seen;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            startCell(8);
            std::mt19937 random(seed);
            simulation_->deliveryWhileDown
                    = seed % 2 ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::NotSent;
            setDowntime(Milliseconds(seed % 3 ? 4000 : 8000));
            const Milliseconds crashAt = milliseconds(seed % 4 * 300UL);
            simulation_->plan = [crashAt](const TaskKey &task, RunNumber) {
                if (task.job.value().starts_with("bad"))
                    return crashAfter(crashAt);
                const auto position = std::hash<JobId>()(task.job) + task.index.value();
                return soundRun(milliseconds(300 + position % 8 * 500));
            };
            std::vector<std::string> sound;
            std::vector<std::string> bad;
            for (std::size_t i = 0; i < 40; ++i) {
                const bool isBad = i % 10 == 4;
                std::vector<std::string> &names = isBad ? bad : sound;
                names.push_back((isBad ? "bad" : "sound") + std::to_string(i));
                JobSpec job = CellSimulation::job(
                        names.back(), static_cast<std::int64_t>(1 + random() % (isBad ? 2 : 5)));
                simulation_->submit(0, job);
                simulation_->advance(milliseconds(random() % 300));
            }
            for (std::size_t i = 0; i < holderLosses; ++i) {
                simulation_->advance(milliseconds(random() % 6000));
                replaceHolder();
            }
            seen += deviations(sound, bad, "seed " + std::to_string(seed));
        }
        CPPUNIT_ASSERT_MESSAGE(seen, seen.empty());
    }

    /// The job crashes workers that always have sound runs, and the holder is lost with the first
    /// crashes.
    void playOnBusyWorkers(const JobSpec &bad)
    {
        std::string seen;
        for (std::size_t lostWith = 1; lostWith <= 2; ++lostWith) {
            for (const Milliseconds crashAt : {Milliseconds(0), Milliseconds(700)}) {
                startCell(8);
                simulation_->plan = [crashAt](const TaskKey &task, RunNumber) {
                    return task.job == JobId("bad") ? crashAfter(crashAt)
                                                    : soundRun(Milliseconds(6000));
                };
                simulation_->submitAndWait(0, CellSimulation::job("sound", 400));
                simulation_->advance(Milliseconds(300));
                simulation_->submitAndWait(0, bad);
                simulation_->advanceUntil([&] { return crashesOf("bad") >= lostWith; }, longWait);
                simulation_->advance(Milliseconds(100));
                replaceHolder();
                simulation_->advanceUntil(
                        [&] { return simulation_->stateOf(0, JobId("bad")) == JobState::Failed; },
                        giveUpWait);
                report(describe("bad"));
                if (highestCount("bad").furtherStarts > maxFurtherStarts
                    || simulation_->stateOf(0, JobId("bad")) != JobState::Failed)
                    seen += describe("bad") + "\n";
            }
        }
        CPPUNIT_ASSERT_MESSAGE(seen, seen.empty());
    }

    struct Count
    {
        std::size_t starts = 0;
        std::size_t crashes = 0;
        /// Starts after the third crash.
        std::size_t furtherStarts = 0;
    };

    /// The highest counts of a single task of the job.
    Count highestCount(const std::string &job) const
    {
        std::map<TaskKey, std::vector<const CellSimulation::ObservedRun *>> runs;
        for (const CellSimulation::ObservedRun &row : simulation_->starts()) {
            if (row.task.job == JobId(job))
                runs[row.task].push_back(&row);
        }
        Count highest;
        for (const auto &[task, rows] : runs) {
            std::vector<TimePoint> crashes;
            for (const auto *row : rows) {
                if (row->crashed)
                    crashes.push_back(*row->completedAt);
            }
            std::sort(crashes.begin(), crashes.end());
            const auto further = static_cast<std::size_t>(
                    std::count_if(rows.begin(), rows.end(), [&](const auto *row) {
                        return crashes.size() >= 3 && row->startedAt > crashes[2];
                    }));
            highest.starts = std::max(highest.starts, rows.size());
            highest.crashes = std::max(highest.crashes, crashes.size());
            highest.furtherStarts = std::max(highest.furtherStarts, further);
        }
        return highest;
    }

    std::string describe(const std::string &job) const
    {
        const Count count = highestCount(job);
        return job + ": starts " + std::to_string(count.starts) + ", crashed workers "
                + std::to_string(count.crashes) + ", starts after the third "
                + std::to_string(count.furtherStarts);
    }

    void assertFailsWithinBudget(const std::string &job)
    {
        const TimePoint from = simulation_->now();
        const bool failed = simulation_->advanceUntil(
                [&] { return simulation_->stateOf(0, JobId(job)) == JobState::Failed; },
                giveUpWait);
        const std::string seen = describe(job) + ", failed after "
                + (failed ? std::to_string((simulation_->now() - from).count()) : "-") + " ms";
        report(seen);
        CPPUNIT_ASSERT_MESSAGE(seen, highestCount(job).furtherStarts <= maxFurtherStarts);
        CPPUNIT_ASSERT_MESSAGE(seen, failed);
    }

    /// What differs from all sound jobs completed, all bad ones failed and no start too many.
    std::string deviations(const std::vector<std::string> &sound,
                           const std::vector<std::string> &bad, const std::string &condition)
    {
        const TimePoint end = simulation_->now() + giveUpWait;
        std::string seen;
        for (const auto &[names, state] :
             {std::pair(&sound, JobState::Completed), std::pair(&bad, JobState::Failed)}) {
            for (const std::string &job : *names) {
                std::optional<JobState> last;
                simulation_->advanceUntil(
                        [&] {
                            last = simulation_->stateOf(0, JobId(job));
                            return last && isFinal(*last);
                        },
                        std::max(end - simulation_->now(), Milliseconds(1)));
                if (last != state) {
                    seen += describe(job) + ", state "
                            + (last ? std::to_string(static_cast<int>(*last)) : "-") + "; ";
                }
            }
        }
        std::size_t crashes = 0;
        std::size_t starts = 0;
        for (const std::string &job : bad) {
            const Count count = highestCount(job);
            crashes = std::max(crashes, count.crashes);
            starts = std::max(starts, count.starts);
            if (count.furtherStarts > maxFurtherStarts)
                seen += "over the budget " + describe(job) + "; ";
        }
        std::size_t innocent = 0;
        for (const std::string &job : sound)
            innocent = std::max(innocent, highestCount(job).crashes);
        report(condition + ": most starts " + std::to_string(starts) + ", crashed workers "
               + std::to_string(crashes) + " of a crashing task, " + std::to_string(innocent)
               + " under a sound task");
        if (simulation_->overlaps() > 0)
            seen += "simultaneous runs of a task";
        return seen.empty() ? seen : condition + ": " + seen + "\n";
    }

    void assertCompleteAndFail(const std::vector<std::string> &sound,
                               const std::vector<std::string> &bad, const std::string &condition)
    {
        const std::string seen = deviations(sound, bad, condition);
        CPPUNIT_ASSERT_MESSAGE(seen, seen.empty());
    }

    /// Shows the counts when the variable CARAWAYMOUNT_SHOW_COUNTS is set.
    static void report(const std::string &line)
    {
        if (std::getenv("CARAWAYMOUNT_SHOW_COUNTS"))
            CppUnit::stdCOut() << "  " << line << "\n";
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t workers_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingTaskTest);

} // namespace caraway::tests
