#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstring>

namespace caraway::tests {

using namespace cell;

/// Tasks whose runs have lapsed, or never began, on workers that restart later.
class LapseReviewTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(LapseReviewTest);
    CPPUNIT_TEST(crash_longAfterTheLeaseOfAListedWorker_isNotCounted);
    CPPUNIT_TEST(job_whoseWorkersRestartLongAfterItsRunsLapsed_completes);
    CPPUNIT_TEST(crash_afterTheWorkerOutlivedTheLease_isNotCountedByTheNextHolder);
    CPPUNIT_TEST(crash_afterTheRunLapsedUnderAnEarlierHolder_isNotCounted);
    CPPUNIT_TEST(job_whoseStartsNeverArriveAtWorkersThatRestart_isNotFailed);
    CPPUNIT_TEST(lastingTask_withCrashesWhoseWorkerIsLostForGood_startsAfterTheLease);
    CPPUNIT_TEST(crash_ofAWorkerThatReturnsUnderAnotherNameAndItsHolder_isCounted);
    CPPUNIT_TEST(crash_ofAWorkerWithAnEarlierTimeOfDayUnderAnotherName_isCounted);
    CPPUNIT_TEST(crash_ofARemovedWorkerThatReturnsAfter40Seconds_isCounted);
    CPPUNIT_TEST(worker_listedAtTheAddressOfOneThatReturns_isNoEvidenceOfACrash);
    CPPUNIT_TEST(start_carriedOutLateByTheNextIncarnation_doesNotRunBesideAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        simulation_->workerDelivery = [this](const InstanceId &, const WorkerRequest &request) {
            const bool isLost = cut_.contains(request.worker)
                    || (losesStarts_ && std::holds_alternative<WorkerStart>(request.command));
            return isLost ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::Delivered;
        };
        simulation_->plan = [this](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {runDuration_, CompletionReason::Succeeded};
        };
        awaitHolder();
        simulation_->advance(Milliseconds(1000));
    }

    void crash_longAfterTheLeaseOfAListedWorker_isNotCounted()
    {
        submit(CellSimulation::job("a"));
        restartBehindCutAfterLapse();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
    }

    void job_whoseWorkersRestartLongAfterItsRunsLapsed_completes()
    {
        submit(CellSimulation::job("a"));
        for (std::size_t i = 0; i < 5; ++i)
            restartBehindCutAfterLapse();
        runDuration_ = Milliseconds(2000);
        assertNotFailed();
    }

    void crash_afterTheWorkerOutlivedTheLease_isNotCountedByTheNextHolder()
    {
        submit(CellSimulation::job("a"));
        const std::size_t worker = cutOffWorkerOfRun();
        awaitLapse(worker);
        SimulatedWorker &silent = simulation_->worker(worker);
        silent.entry.reportedAt = silent.clock(simulation_->now());
        simulation_->publishWorker(worker);
        simulation_->advance(Milliseconds(1000));
        replaceHolder();
        simulation_->restartWorker(worker);
        cut_.clear();
        simulation_->advance(Milliseconds(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
    }

    void crash_afterTheRunLapsedUnderAnEarlierHolder_isNotCounted()
    {
        submit(CellSimulation::job("a"));
        const std::size_t worker = cutOffWorkerOfRun();
        replaceHolder();
        awaitLapse(worker);
        SimulatedWorker &silent = simulation_->worker(worker);
        silent.entry.reportedAt = silent.clock(simulation_->now());
        simulation_->publishWorker(worker);
        simulation_->advance(Milliseconds(1000));
        simulation_->restartWorker(worker);
        cut_.clear();
        simulation_->advance(Milliseconds(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
    }

    void job_whoseStartsNeverArriveAtWorkersThatRestart_isNotFailed()
    {
        losesStarts_ = true;
        std::size_t handled = 0;
        submit(CellSimulation::job("a"));
        for (std::size_t i = 0; i < 6 && countedCrashes() < 5; ++i) {
            const bool isSent
                    = simulation_->advanceUntil([&] { return taskStarts() > handled; }, longWait);
            if (!isSent)
                break;
            handled = taskStarts();
            simulation_->advance(Milliseconds(100));
            simulation_->restartWorker(workerOfLastStart());
        }
        losesStarts_ = false;
        runDuration_ = Milliseconds(500);
        simulation_->advance(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
        assertNotFailed();
    }

    void lastingTask_withCrashesWhoseWorkerIsLostForGood_startsAfterTheLease()
    {
        JobSpec job = CellSimulation::job("a");
        job.steps.front().longRunning = true;
        submit(job);
        for (std::size_t crash = 0; crash < 2; ++crash) {
            const std::size_t worker = awaitRun();
            simulation_->worker(worker).crash(simulation_->now());
            simulation_->advance(Milliseconds(200));
        }
        const std::size_t worker = awaitRun();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), countedCrashes());
        const std::size_t starts = simulation_->starts().size();
        simulation_->removeWorker(worker);
        const TimePoint lostAt = simulation_->now();
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().size() > starts; }, longWait));
        const Milliseconds lease = CellSettings().workerLease;
        const Milliseconds waited = simulation_->now() - lostAt;
        CPPUNIT_ASSERT_MESSAGE("started after " + std::to_string(waited.count()) + " ms",
                               waited <= lease + lease / 50 + Milliseconds(3000));
    }

    void crash_ofAWorkerThatReturnsUnderAnotherNameAndItsHolder_isCounted()
    {
        simulation_->renamesOnReturn = true;
        submit(CellSimulation::job("a"));
        const std::size_t worker = awaitRun();
        simulation_->worker(worker).crash(simulation_->now());
        replaceHolder();
        simulation_->advance(Milliseconds(45'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countedCrashes());
    }

    void crash_ofAWorkerWithAnEarlierTimeOfDayUnderAnotherName_isCounted()
    {
        simulation_->renamesOnReturn = true;
        for (std::size_t i = 0; i < workers; ++i)
            simulation_->restartWorker(i);
        simulation_->advance(Milliseconds(3000));
        submit(CellSimulation::job("a"));
        const std::size_t worker = awaitRun();
        simulation_->worker(worker).downtime = Milliseconds(12'000);
        simulation_->worker(worker).crash(simulation_->now());
        simulation_->store().remove(
                {RecordType::Workers, simulation_->worker(worker).entry.id.value()});
        // The process counts its starts up by one from here.
        simulation_->worker(worker).entry.incarnation = WorkerIncarnation();
        simulation_->advance(Milliseconds(40'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countedCrashes());
    }

    void crash_ofARemovedWorkerThatReturnsAfter40Seconds_isCounted()
    {
        simulation_->removesEntriesOnCrash = true;
        submit(CellSimulation::job("a"));
        const std::size_t worker = awaitRun();
        simulation_->worker(worker).downtime = Milliseconds(40'000);
        simulation_->worker(worker).crash(simulation_->now());
        simulation_->advance(Milliseconds(45'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countedCrashes());
    }

    void worker_listedAtTheAddressOfOneThatReturns_isNoEvidenceOfACrash()
    {
        submit(CellSimulation::job("a"));
        const std::size_t worker = cutOffWorkerOfRun();
        awaitLapse(worker);
        WorkerEntry other = simulation_->worker(worker).entry;
        other.id = WorkerId("other");
        other.incarnation = WorkerIncarnation(other.incarnation.value() + 1);
        simulation_->store().put({RecordType::Workers, other.id.value()}, other);
        simulation_->advance(Milliseconds(1000));
        cut_.clear();
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countedCrashes());
    }

    void start_carriedOutLateByTheNextIncarnation_doesNotRunBesideAnother()
    {
        for (std::size_t i = 0; i < workers; ++i)
            simulation_->worker(i).executesCallsForOthers = true;
        bool isFirst = true;
        simulation_->workerDelay = [&isFirst](const WorkerRequest &request) {
            const bool isDelayed = std::holds_alternative<WorkerStart>(request.command)
                    && std::exchange(isFirst, false);
            return Milliseconds(isDelayed ? 6000 : 0);
        };
        submit(CellSimulation::job("a"));
        simulation_->advance(Milliseconds(100));
        const std::size_t worker = workerOfLastStart();
        awaitRun();
        simulation_->restartWorker(worker);
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

private:
    static constexpr std::size_t workers = 12;
    static constexpr Milliseconds longWait {40'000};

    std::optional<std::size_t> reachableWorkerWithRun() const
    {
        for (std::size_t i = 0; i < workers; ++i) {
            const SimulatedWorker &worker = simulation_->worker(i);
            if (!worker.running().empty() && !cut_.contains(worker.entry.id))
                return i;
        }
        return std::nullopt;
    }
    std::size_t awaitRun()
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return reachableWorkerWithRun().has_value(); }, longWait));
        const std::size_t worker = *reachableWorkerWithRun();
        // Until the worker has listed the run, and the start log is written.
        simulation_->advance(Milliseconds(1800));
        return worker;
    }
    std::size_t cutOffWorkerOfRun()
    {
        const std::size_t worker = awaitRun();
        cut_.insert(simulation_->worker(worker).entry.id);
        return worker;
    }
    /// Until 10 s after the run has ended on its worker.
    void awaitLapse(std::size_t worker)
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->worker(worker).running().empty(); }, longWait));
        for (int second = 0; second < 10; ++second) {
            simulation_->publishWorker(worker);
            simulation_->advance(Milliseconds(1000));
        }
    }
    void restartBehindCutAfterLapse()
    {
        const std::size_t worker = cutOffWorkerOfRun();
        awaitLapse(worker);
        simulation_->restartWorker(worker);
        simulation_->advance(Milliseconds(1000));
        cut_.clear();
        simulation_->advance(Milliseconds(3000));
    }
    std::size_t taskStarts() const { return logged("event=task_start "); }
    std::size_t workerOfLastStart() const
    {
        const std::size_t line = simulation_->log.rfind("event=task_start ");
        const std::size_t from = simulation_->log.find(" worker=", line) + std::strlen(" worker=");
        const std::size_t end = simulation_->log.find(' ', from);
        return simulation_->indexOf(WorkerId(simulation_->log.substr(from, end - from)));
    }
    void assertNotFailed()
    {
        std::optional<JobState> state;
        simulation_->advanceUntil(
                [&] {
                    state = simulation_->stateOf(0, JobId("a"));
                    return state && isFinal(*state);
                },
                longWait);
        CPPUNIT_ASSERT(state == JobState::Completed);
    }

    std::set<WorkerId> cut_;
    bool losesStarts_ = false;
    Milliseconds runDuration_ {60'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LapseReviewTest);

} // namespace caraway::tests
