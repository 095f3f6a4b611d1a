#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// The path of jobs through several instances, from submission to result, in simulated time.
class CellInstanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellInstanceTest);
    CPPUNIT_TEST(job_submitted_isAcceptedAndCompletedAtEveryInstance);
    CPPUNIT_TEST(job_submittedAtTwoInstances_startsOnce);
    CPPUNIT_TEST(job_exceedingTheFreeCapacity_neverOverloadsAWorker);
    CPPUNIT_TEST(step_afterAnother_startsWhenAllItsTasksSucceeded);
    CPPUNIT_TEST(task_failingEachTime_failsTheJobAfterItsAttempts);
    CPPUNIT_TEST(failedRuns_unrecordedOnTwoWorkers_allCountForTheNextHolder);
    CPPUNIT_TEST(gang_withSufficientCapacity_startsUnderOneRun);
    CPPUNIT_TEST(job_cancelledWhileRunning_isStoppedAndReportedCancelled);
    CPPUNIT_TEST(result_olderThanItsLifetime_isRemovedFromTheStore);
    CPPUNIT_TEST(unknownJob_read_isReportedUnknown);
    CPPUNIT_TEST(holder_killed_othersTakeOverAndNothingRunsTwice);
    CPPUNIT_TEST(holder_readingAWorkerForTheFirstTime_keepsDiscoveredRuns);
    CPPUNIT_TEST(holder_afterTheRemovalOfAWorker_recoversWithoutIt);
    CPPUNIT_TEST(holder_findingAnEntryWithoutProcess_startsOlderJobsWithoutWaitingForIt);
    CPPUNIT_TEST(holder_afterTheCrashOfAnIdleWorker_startsOlderJobsWithoutWaitingForIt);
    CPPUNIT_TEST(holder_afterADrainedWorkerLeft_startsOlderJobsWithoutWaitingForIt);
    CPPUNIT_TEST(holder_afterTheCrashOfAWorkerWithRuns_delaysOnlyTheirJobs);
    CPPUNIT_TEST(holder_afterAnUnansweredStartOnACrashedWorker_startsNothingTwice);
    CPPUNIT_TEST(holder_readingAnOutdatedRecordOfClosedWorkers_startsNoOlderJobs);
    CPPUNIT_TEST(holder_notConfirmingThatAWorkerIsClosed_startsNothingThere);
    CPPUNIT_TEST(holder_notConfirmingThatAWorkerLeftTheRoster_startsNothingThere);
    CPPUNIT_TEST(holder_cutOffFromTheStore_itsRunsAreNotStartedAgainWhileItRenewsTheirLease);
    CPPUNIT_TEST(holder_restartedWhileAWorkerIsUnreachable_startsNothingTwice);
    CPPUNIT_TEST(holder_killedAfterAWorkerWithRunsBecameUnreachable_itsRunsAreNotStartedTwice);
    CPPUNIT_TEST(completions_unrecordedFromADrainedWorker_areReadBeforeOlderJobsStart);
    CPPUNIT_TEST(holder_readingCompletionsOfAnEarlierTerm_startsWorkOfAllPriorities);
    CPPUNIT_TEST(holder_pausedPastItsLease_startsNothingTwiceAfterResuming);
    CPPUNIT_TEST(job_resubmittedAfterItFinishedUnderAnEarlierHolder_doesNotRunAgain);
    CPPUNIT_TEST(completion_ofAJobWithoutStoredResult_isNotDiscardedByTheWorker);
    CPPUNIT_TEST(start_unanswered_isResolvedBeforeTheTaskRunsElsewhere);
    CPPUNIT_TEST(holder_weakerThanOthers_isReplacedByAStrongerInstance);
    CPPUNIT_TEST(holder_killed_isReplacedByTheStrongestInstance);
    CPPUNIT_TEST(singleTasks_queuedWithAnUnapprovedGang_useTheFreeCapacity);
    CPPUNIT_TEST(gang_withApprovedCapacityForAlmostAll_requestsApprovalOfOtherWorkers);
    CPPUNIT_TEST(singleTasks_whileUrgentWorkRuns_useTheFreeCapacity);
    CPPUNIT_TEST(completions_ofManyJobsAtOnce_areRecordedWithoutAPauseBetweenCommits);
    CPPUNIT_TEST(worker_restarted_itsTasksRunAgain);
    CPPUNIT_TEST(worker_unreachable_itsTasksRunElsewhereAfterLeaseExpiry);
    CPPUNIT_TEST(worker_refusingConnections_itsTasksRunElsewhereAfterLeaseExpiry);
    CPPUNIT_TEST(worker_restartedAndCutOff_itsTasksRunElsewhereWithoutWaitingForTheLease);
    CPPUNIT_TEST(worker_draining_receivesNoStart);
    CPPUNIT_TEST(worker_thatStopsAnswering_isLoggedWithItsRunsAndLease);
    CPPUNIT_TEST(gang_onAWorkerThatLeaves_startsAgainWithoutWaitingForTheLease);
    CPPUNIT_TEST(gang_exceedingItsEstimateOnAWorkerThatLeaves_startsAgainInTime);
    CPPUNIT_TEST(gang_onAWorkerThatLeaves_startsFromTheCheckpointOfTheStop);
    CPPUNIT_TEST(task_completingBeforeItsWorkerLeaves_isNotStopped);
    CPPUNIT_TEST(task_almostDoneAtAChangeOfHolder_isNotStopped);
    CPPUNIT_TEST(task_onAWorkerThatRepeatsItsEntryWithoutTheTime_startsElsewhereBefore);
    CPPUNIT_TEST(workers_refusingCallsBrieflyInAStoreOutage_areUsedAgain);
    CPPUNIT_TEST(holder_frozenWhileAWorkerWithRunsLeaves_othersStartOlderJobs);
    CPPUNIT_TEST(holder_killedWithAWorkerThatHasRuns_othersStartOlderJobs);
    CPPUNIT_TEST(task_onAWorkerThatLeavesAfterAChangeOfHolder_startsElsewhereBefore);
    CPPUNIT_TEST(task_onALeavingWorkerThatDoesNotAnswer_startsElsewhereSoonAfterItsLeaving);
    CPPUNIT_TEST(workerList_withAnOddEntry_isStillFollowedByEveryHolder);
    CPPUNIT_TEST(workerEntry_replacedByAnOddOne_isUsedAgainAfterItsReturn);
    CPPUNIT_TEST(workerEntry_malformed_isLoggedOncePerChange);
    CPPUNIT_TEST(workerName_withALineBreak_isLoggedInOneLine);
    CPPUNIT_TEST(worker_removedWhileAHolderLoads_receivesNoStart);
    CPPUNIT_TEST(workerEntry_replacedByAnOddOneWhileAHolderLoads_receivesNoStart);
    CPPUNIT_TEST(workerEntry_withAnImpossibleIncarnation_startsNothingTwice);
    CPPUNIT_TEST(workerEntry_withAnImpossibleIncarnation_laterRestartIsRecognized);
    CPPUNIT_TEST(workerEntry_whereNobodyAnswers_doesNotDelayTheNextHolder);
    CPPUNIT_TEST(workerEntry_movedToWhereNobodyAnswers_doesNotDelayTheNextHolder);
    CPPUNIT_TEST(workerEntry_whereNobodyAnswers_doesNotDelayStarts);
    CPPUNIT_TEST(workerEntry_withExcessiveCapacity_doesNotHoldTasksBack);
    CPPUNIT_TEST(store_refusingWrites_jobIsReportedAsNotRun);
    CPPUNIT_TEST(store_losingTheReply_acceptsTheJobOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
    }

    /// An instance with an eighth of a processor that became the holder after a network partition
    /// fell seconds behind on a large fleet, and nothing was started as long as it stayed holder.
    void holder_weakerThanOthers_isReplacedByAStrongerInstance()
    {
        const std::size_t weak = simulation_->holder().value();
        simulation_->processors[weak] = Millicores(120);
        simulation_->kill(weak);
        simulation_->processors[(weak + 1) % 3] = simulation_->processors[(weak + 2) % 3]
                = Millicores(500);
        for (const std::size_t other : {(weak + 1) % 3, (weak + 2) % 3})
            simulation_->kill(other);
        simulation_->restart(weak);
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return simulation_->holder() == weak; }, longWait));
        simulation_->restart((weak + 1) % 3);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->instance((weak + 1) % 3).isHolder(); }, longWait));
        CPPUNIT_ASSERT(simulation_->submitAndWait(weak, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(completes("a"));
    }

    void holder_killed_isReplacedByTheStrongestInstance()
    {
        const std::size_t first = simulation_->holder().value();
        for (std::size_t i = 0; i < 3; ++i) {
            simulation_->kill(i);
            simulation_->processors[i] = Millicores(i == (first + 1) % 3 ? 120 : 500);
        }
        for (std::size_t i = 0; i < 3; ++i)
            simulation_->restart(i);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder() == first; },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        simulation_->kill(first);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->holder().has_value() && simulation_->holder() != first; },
                longWait));
        CPPUNIT_ASSERT_EQUAL((first + 2) % 3, simulation_->holder().value());
    }

    /// The resources that queued gangs require were counted as allocated: 40 percent of a large
    /// fleet's capacity stayed free while thousands of less urgent tasks were queued.
    void singleTasks_queuedWithAnUnapprovedGang_useTheFreeCapacity()
    {
        useApprovals();
        simulation_->approves
                = [](const StepKey &step, const WorkerId &) { return step.job != JobId("gang"); };
        JobSpec gang = CellSimulation::job("gang", 32);
        gang.steps.front().gang = true;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a", 20))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(completes("a"));
    }

    /// A gang of 37, with free capacity for 31 members on its approved workers, requested only
    /// new tickets for these workers and was never placed, although other workers were idle.
    void gang_withApprovedCapacityForAlmostAll_requestsApprovalOfOtherWorkers()
    {
        simulation_ = std::make_unique<CellSimulation>(3, 16);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        useApprovals();
        std::set<WorkerId> requested;
        // Only one of the first ten workers in approval requests may run the gang.
        WorkerId approvedWorker;
        simulation_->approves = [&](const StepKey &, const WorkerId &worker) {
            if (approvedWorker.isEmpty())
                approvedWorker = worker;
            requested.insert(worker);
            return worker == approvedWorker || requested.size() > 10;
        };
        JobSpec gang = CellSimulation::job("gang", 10);
        gang.steps.front().gang = true;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(completes("gang"));
    }

    /// Headroom was reserved for the full arrival rate of urgent work, in addition to the capacity
    /// that urgent work already used.
    void singleTasks_whileUrgentWorkRuns_useTheFreeCapacity()
    {
        Queue lessUrgent = simulation_->configuration.queues.front();
        lessUrgent.id = QueueId("patient");
        lessUrgent.host = "patient";
        lessUrgent.priority = 2;
        simulation_->configuration.queues.push_back(lessUrgent);
        simulation_->configuration.version = ConfigurationVersion(2);
        simulation_->publishConfiguration();
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(task.job == JobId("a") ? 5000 : 500),
                                             CompletionReason::Succeeded};
        };
        JobSpec urgent = CellSimulation::job("a", 20);
        urgent.steps.front().estimate = Milliseconds(5000);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, urgent) == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(1500));
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("b", 12), "patient")
                       == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), simulation_->startsOf(JobId("b")));
    }

    void completions_ofManyJobsAtOnce_areRecordedWithoutAPauseBetweenCommits()
    {
        constexpr int jobs = 30;
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(2000), CompletionReason::Succeeded};
        };
        for (int i = 0; i < jobs; ++i)
            simulation_->submit(0, CellSimulation::job("job-" + std::to_string(i)));
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), simulation_->starts().size());
        const auto isCompleted = [](const auto &row) { return row.completedAt.has_value(); };
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] {
                    return std::all_of(simulation_->starts().begin(), simulation_->starts().end(),
                                       isCompleted);
                },
                longWait));
        // Five commits of up to seven jobs, ten milliseconds each, and the delay to the caller.
        simulation_->advance(Milliseconds(130));
        const std::size_t holder = simulation_->holder().value();
        for (int i = 0; i < jobs; ++i) {
            CPPUNIT_ASSERT(simulation_->stateOf(holder, JobId("job-" + std::to_string(i)))
                           == JobState::Completed);
        }
    }

    void job_submitted_isAcceptedAndCompletedAtEveryInstance()
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a", 3))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(completes("a"));
        for (std::size_t i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(simulation_->stateOf(i, JobId("a")) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation_->startsOf(JobId("a")));
    }

    void job_submittedAtTwoInstances_startsOnce()
    {
        const auto first = simulation_->submit(0, CellSimulation::job("a"));
        const auto second = simulation_->submit(1, CellSimulation::job("a"));
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT(simulation_->answerOf(first)->outcome == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->answerOf(second)->outcome == CallerOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    void job_exceedingTheFreeCapacity_neverOverloadsAWorker()
    {
        simulation_->submitAndWait(0, CellSimulation::job("a", 100));
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overloads());
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), simulation_->startsOf(JobId("a")));
    }

    void step_afterAnother_startsWhenAllItsTasksSucceeded()
    {
        JobSpec job = CellSimulation::job("a", 3);
        job.steps.push_back(job.steps.front());
        job.steps.back().after = {StepIndex(0)};
        simulation_->submitAndWait(0, job);
        CPPUNIT_ASSERT(completes("a"));
        TimePoint lastCompletion;
        for (const CellSimulation::ObservedRun &row : simulation_->starts()) {
            if (row.task.step == StepIndex(0))
                lastCompletion = std::max(lastCompletion, row.completedAt.value());
        }
        for (const CellSimulation::ObservedRun &row : simulation_->starts()) {
            if (row.task.step == StepIndex(1))
                CPPUNIT_ASSERT(row.startedAt >= lastCompletion);
        }
    }

    void task_failingEachTime_failsTheJobAfterItsAttempts()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(100), CompletionReason::Failed};
        };
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        CPPUNIT_ASSERT(reaches("a", JobState::Failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation_->startsOf(JobId("a")));
    }

    /// After a store outage and a power loss, the completions of one task were read from two
    /// workers, the later run first. The earlier run was treated as already counted, and the
    /// task ran more often than its attempt limit allows.
    void failedRuns_unrecordedOnTwoWorkers_allCountForTheNextHolder()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(300), CompletionReason::Failed};
        };
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &request) {
            return std::holds_alternative<StoreCommit>(request)
                    ? CellSimulation::Delivery::Refused
                    : CellSimulation::Delivery::Delivered;
        };
        // The worker of the first run, the first by name, is the last that the next holder reads.
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return !simulation_->starts().empty(); },
                                                 longWait));
        const WorkerId first = simulation_->starts().front().worker;
        simulation_->worker(0).entry.draining = true;
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation_->startsOf(JobId("a")));
        CPPUNIT_ASSERT(first != simulation_->starts().back().worker);
        const std::size_t old = *simulation_->holder();
        simulation_->kill(old);
        int calls = 0;
        simulation_->workerDelivery = [&, first](const InstanceId &, const WorkerRequest &request) {
            const bool isLate = request.worker == first && ++calls < 3;
            return isLate ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::Delivered;
        };
        simulation_->storeDelivery = nullptr;
        simulation_->restart(old);
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation_->startsOf(JobId("a")));
    }

    void gang_withSufficientCapacity_startsUnderOneRun()
    {
        JobSpec job = CellSimulation::job("a", 20);
        job.steps.front().gang = true;
        simulation_->submitAndWait(0, job);
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), simulation_->starts().size());
        for (const CellSimulation::ObservedRun &row : simulation_->starts())
            CPPUNIT_ASSERT(row.run == simulation_->starts().front().run);
    }

    void job_cancelledWhileRunning_isStoppedAndReportedCancelled()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 2));
        simulation_->advance(Milliseconds(300));
        simulation_->cancel(1, JobId("a"));
        CPPUNIT_ASSERT(reaches("a", JobState::Cancelled));
        simulation_->advance(Milliseconds(500));
        for (const CellSimulation::ObservedRun &row : simulation_->starts())
            CPPUNIT_ASSERT(row.completedAt && row.reason == CompletionReason::Stopped);
    }

    void result_olderThanItsLifetime_isRemovedFromTheStore()
    {
        for (int i = 0; i < 25; ++i)
            simulation_->submit(0, CellSimulation::job("job-" + std::to_string(i)));
        CPPUNIT_ASSERT(completes("job-24"));
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(25), simulation_->store().count(RecordType::Results));
        simulation_->kill(*simulation_->holder());
        simulation_->advance(Milliseconds(110'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(25), simulation_->store().count(RecordType::Results));
        simulation_->advance(Milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->store().count(RecordType::Results));
    }

    void unknownJob_read_isReportedUnknown()
    {
        const auto request = simulation_->read(0, JobId("nobody"));
        simulation_->advance(Milliseconds(200));
        CPPUNIT_ASSERT(simulation_->answerOf(request)->outcome == CallerOutcome::UnknownJob);
    }

    void holder_killed_othersTakeOverAndNothingRunsTwice()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(other(), CellSimulation::job("a", 5));
        simulation_->advance(Milliseconds(300));
        const std::size_t receiver = other();
        simulation_->kill(*simulation_->holder());
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->stateOf(receiver, JobId("a")) == JobState::Completed; },
                longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), simulation_->startsOf(JobId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// In an incident, a new holder treated worker leases that its predecessor had renewed as
    /// expired, because it had not renewed them itself yet.
    void holder_readingAWorkerForTheFirstTime_keepsDiscoveredRuns()
    {
        // The first task completes between the two terms. Its completion is unrecorded, so its
        // worker's second heartbeat comes later than those of the others.
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool isShort = task.index == TaskIndex(0);
            return SimulatedWorker::RunPlan {Milliseconds(isShort ? 380 : 4000),
                                             CompletionReason::Succeeded};
        };
        simulation_->submitAndWait(other(), CellSimulation::job("a", 5));
        simulation_->advance(Milliseconds(300));
        replaceHolder();
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::string::npos,
                             simulation_->log.find("event=worker_lease_expired"));
    }

    /// In an incident, removed workers stayed in the roster, and the next holder waited 13 s for
    /// them.
    void holder_afterTheRemovalOfAWorker_recoversWithoutIt()
    {
        const WorkerId removed = simulation_->worker(0).entry.id;
        simulation_->workerDelivery = [removed](const InstanceId &, const WorkerRequest &request) {
            return request.worker == removed ? CellSimulation::Delivery::Lost
                                             : CellSimulation::Delivery::Delivered;
        };
        simulation_->store().remove({RecordType::Workers, removed.value()});
        simulation_->advance(Milliseconds(5000));
        replaceHolder();
        simulation_->log.clear();
        simulation_->advance(Milliseconds(1500));
        CPPUNIT_ASSERT(simulation_->log.find("event=workers_recovered") != std::string::npos);
    }

    /// No earlier holder read the worker, so nothing was started there.
    void holder_findingAnEntryWithoutProcess_startsOlderJobsWithoutWaitingForIt()
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        losesCallsTo(simulation_->worker(0).entry.id, CellSimulation::Delivery::NotSent);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        killHolderAndSubmit("a");
        CPPUNIT_ASSERT(startsInTime("a"));
    }

    void holder_afterTheCrashOfAnIdleWorker_startsOlderJobsWithoutWaitingForIt()
    {
        losesCallsTo(simulation_->worker(0).entry.id, CellSimulation::Delivery::Lost);
        simulation_->advance(noticesLoss);
        killHolderAndSubmit("a");
        CPPUNIT_ASSERT(startsInTime("a"));
    }

    void holder_afterADrainedWorkerLeft_startsOlderJobsWithoutWaitingForIt()
    {
        simulation_->worker(0).entry.draining = true;
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(1500));
        killHolderAndSubmit("a");
        losesCallsTo(simulation_->worker(0).entry.id, CellSimulation::Delivery::NotSent);
        simulation_->store().remove({RecordType::Workers, "worker-0"});
        CPPUNIT_ASSERT(startsInTime("a"));
    }

    void holder_afterTheCrashOfAWorkerWithRuns_delaysOnlyTheirJobs()
    {
        const std::size_t receiver = loseWorkerWithRunsOf("a");
        killHolderAndSubmit("b");
        CPPUNIT_ASSERT(startsInTime("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), simulation_->startsOf(JobId("a")));
        simulation_->advance(Milliseconds(30'000));
        CPPUNIT_ASSERT(simulation_->stateOf(receiver, JobId("a")) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void holder_afterAnUnansweredStartOnACrashedWorker_startsNothingTwice()
    {
        const std::size_t receiver = other();
        simulation_->plan = longRuns();
        std::optional<WorkerId> crashed;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            if (!crashed && std::holds_alternative<WorkerStart>(request.command)) {
                crashed = request.worker;
                return CellSimulation::Delivery::AnswerLost;
            }
            return request.worker == crashed ? CellSimulation::Delivery::Lost
                                             : CellSimulation::Delivery::Delivered;
        };
        simulation_->submitAndWait(receiver, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(1000));
        killHolderAndSubmit("b");
        simulation_->advance(longWait);
        CPPUNIT_ASSERT(simulation_->stateOf(receiver, JobId("a")) == JobState::Completed);
        CPPUNIT_ASSERT(simulation_->stateOf(receiver, JobId("b")) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// A holder of an earlier release writes the roster without the record of closed workers.
    void holder_readingAnOutdatedRecordOfClosedWorkers_startsNoOlderJobs()
    {
        loseWorkerWithRunsOf("a");
        killHolderAndSubmit("b");
        const RecordKey roster {RecordType::Roster, {}};
        simulation_->store().put(roster, *simulation_->store().find(roster));
        CPPUNIT_ASSERT(!startsInTime("b"));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("b")) > 0; }, longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void holder_notConfirmingThatAWorkerIsClosed_startsNothingThere()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(task.job == JobId("c") ? 20'000 : 4000),
                                             CompletionReason::Succeeded};
        };
        simulation_->submitAndWait(other(), CellSimulation::job("c"));
        simulation_->advance(Milliseconds(300));
        checkNoStartsWhileUnconfirmed(simulation_->starts().front().worker);
    }

    void holder_notConfirmingThatAWorkerLeftTheRoster_startsNothingThere()
    {
        simulation_->plan = longRuns();
        checkNoStartsWhileUnconfirmed(simulation_->worker(0).entry.id);
    }

    void holder_cutOffFromTheStore_itsRunsAreNotStartedAgainWhileItRenewsTheirLease()
    {
        const std::size_t old = *simulation_->holder();
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(14'000), CompletionReason::Succeeded};
        };
        simulation_->submitAndWait(other(), CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        cutOffFromStore(old);
        reachableByOnly(simulation_->starts().front().worker, old);
        simulation_->advance(Milliseconds(40'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        const std::size_t receiver = (old + 1) % 3;
        CPPUNIT_ASSERT(simulation_->stateOf(receiver, JobId("a")) == JobState::Completed);
    }

    void holder_restartedWhileAWorkerIsUnreachable_startsNothingTwice()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        const std::size_t old = *simulation_->holder();
        losesCallsTo(simulation_->starts().front().worker, CellSimulation::Delivery::Lost);
        simulation_->kill(old);
        simulation_->restart(old);
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void holder_killedAfterAWorkerWithRunsBecameUnreachable_itsRunsAreNotStartedTwice()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(other(), CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        losesCallsTo(simulation_->starts().front().worker, CellSimulation::Delivery::NotSent);
        simulation_->advance(Milliseconds(1000));
        const std::size_t receiver = other();
        replaceHolder();
        simulation_->advance(longWait);
        CPPUNIT_ASSERT(simulation_->stateOf(receiver, JobId("a")) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// The holder is killed after some of the commits with completions of the worker.
    void completions_unrecordedFromADrainedWorker_areReadBeforeOlderJobsStart()
    {
        constexpr int jobs = 80;
        const std::size_t old = *simulation_->holder();
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(4000), CompletionReason::Succeeded};
        };
        drainAllBut({WorkerId("worker-0")});
        for (int i = 0; i < jobs; ++i) {
            JobSpec job = CellSimulation::job("job-" + std::to_string(i));
            job.steps.front().need.processors = Millicores(100);
            simulation_->submit(other(), job);
        }
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), simulation_->starts().size());
        drainAllBut({WorkerId("worker-1"), WorkerId("worker-2"), WorkerId("worker-3")});
        bool isRosterWritten = false;
        int commits = 0;
        simulation_->storeDelivery = [&](const InstanceId &, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isLost = commit && (isRosterWritten || ++commits > 9);
            isRosterWritten |= commit && writesRoster(*commit);
            return isLost ? CellSimulation::Delivery::Lost : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return commits > 0; }, longWait));
        simulation_->advance(Milliseconds(200));
        simulation_->kill(old);
        simulation_->storeDelivery = nullptr;
        losesCallsTo(WorkerId("worker-0"), CellSimulation::Delivery::Lost);
        simulation_->advance(Milliseconds(3000));
        simulation_->workerDelivery = nullptr;
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), simulation_->starts().size());
    }

    /// After a power loss, the completion of a run that the new holder had not started was counted
    /// with a duration of many hours, and all workers were reserved for urgent work.
    void holder_readingCompletionsOfAnEarlierTerm_startsWorkOfAllPriorities()
    {
        simulation_->submitAndWait(0, CellSimulation::job("a", 5));
        simulation_->advance(Milliseconds(200));
        for (std::size_t i = 0; i < 3; ++i)
            simulation_->kill(i);
        simulation_->advance(Milliseconds(1000));
        simulation_->configuration.version = ConfigurationVersion(2);
        Queue lessUrgent = simulation_->configuration.queues.front();
        lessUrgent.id = QueueId("patient");
        lessUrgent.host = "patient";
        lessUrgent.priority = 2;
        simulation_->configuration.queues.push_back(lessUrgent);
        simulation_->publishConfiguration();
        for (std::size_t i = 0; i < 3; ++i)
            simulation_->restart(i);
        CPPUNIT_ASSERT(completes("a"));
        simulation_->submitAndWait(0, CellSimulation::job("urgent"));
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("b"), "patient")
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("b")) > 0; }, Milliseconds(2000)));
    }

    void holder_pausedPastItsLease_startsNothingTwiceAfterResuming()
    {
        const std::size_t old = *simulation_->holder();
        const std::size_t receiver = other();
        simulation_->plan = longRuns();
        simulation_->submitAndWait(receiver, CellSimulation::job("a", 5));
        simulation_->advance(Milliseconds(300));
        simulation_->pause(old);
        simulation_->submitAndWait(receiver, CellSimulation::job("b", 5));
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        simulation_->resume(old);
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT(simulation_->stateOf(old, JobId("a")) == JobState::Completed);
        CPPUNIT_ASSERT(simulation_->stateOf(old, JobId("b")) == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), simulation_->starts().size());
    }

    /// A job that had failed under a killed holder was submitted again to an instance without a
    /// record of it, which announced it to the next holder as new. The job exceeded its attempt
    /// limit.
    void job_resubmittedAfterItFinishedUnderAnEarlierHolder_doesNotRunAgain()
    {
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        CPPUNIT_ASSERT(completes("a"));
        const std::size_t old = *simulation_->holder();
        simulation_->kill(old);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->restart(old);
        simulation_->advance(Milliseconds(1500));
        int commits = 0;
        simulation_->storeDelivery = [&](const InstanceId &id, const StoreRequest &request) {
            const bool isFirst = id.value() == "entry-" + std::to_string(old)
                    && std::holds_alternative<StoreCommit>(request) && ++commits == 1;
            return isFirst ? CellSimulation::Delivery::AnswerLost
                           : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->submitAndWait(old, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    /// Workers must list the completions of a finished job until its result is in the store;
    /// otherwise the next holder starts tasks that have succeeded.
    void completion_ofAJobWithoutStoredResult_isNotDiscardedByTheWorker()
    {
        simulation_->plan = [](const TaskKey &task, RunNumber) {
            const bool fails = task.index == TaskIndex(0);
            return SimulatedWorker::RunPlan {Milliseconds(fails ? 100 : 1500),
                                             fails ? CompletionReason::Failed
                                                   : CompletionReason::Succeeded};
        };
        JobSpec job = CellSimulation::job("a", 2);
        job.steps.front().need.processors = Millicores(8000);
        simulation_->submitAndWait(0, job);
        simulation_->advance(Milliseconds(150));
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &request) {
            return std::holds_alternative<StoreCommit>(request)
                    ? CellSimulation::Delivery::Refused
                    : CellSimulation::Delivery::Delivered;
        };
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &request) {
            return std::holds_alternative<WorkerStop>(request.command)
                    ? CellSimulation::Delivery::Lost
                    : CellSimulation::Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(4000));
        std::set<WorkerId> unreachable;
        for (const CellSimulation::ObservedRun &row : simulation_->starts()) {
            if (row.task.index == TaskIndex(0))
                unreachable.insert(row.worker);
        }
        const std::size_t old = *simulation_->holder();
        simulation_->kill(old);
        simulation_->storeDelivery = nullptr;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            return unreachable.contains(request.worker) ? CellSimulation::Delivery::Lost
                                                        : CellSimulation::Delivery::Delivered;
        };
        simulation_->restart(old);
        simulation_->advance(Milliseconds(20'000));
        const auto startsOfOther
                = std::count_if(simulation_->starts().begin(), simulation_->starts().end(),
                                [](const CellSimulation::ObservedRun &row) {
                                    return row.task.index == TaskIndex(1);
                                });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), startsOfOther);
    }

    void start_unanswered_isResolvedBeforeTheTaskRunsElsewhere()
    {
        int starts = 0;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            const bool isFirst
                    = std::holds_alternative<WorkerStart>(request.command) && ++starts == 1;
            return isFirst ? CellSimulation::Delivery::AnswerLost
                           : CellSimulation::Delivery::Delivered;
        };
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void worker_restarted_itsTasksRunAgain()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->worker(i).restart(simulation_->now());
        simulation_->publishWorkers();
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), simulation_->startsOf(JobId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// After a worker crash, every unanswered heartbeat extended the lease whose expiry the holder
    /// waited for, so the worker's tasks were never started elsewhere.
    void worker_unreachable_itsTasksRunElsewhereAfterLeaseExpiry()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        const WorkerId unreachable = simulation_->starts().front().worker;
        simulation_->workerDelivery
                = [unreachable](const InstanceId &, const WorkerRequest &request) {
                      return request.worker == unreachable ? CellSimulation::Delivery::Lost
                                                           : CellSimulation::Delivery::Delivered;
                  };
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// After the removal of a worker, heartbeats that could not be sent counted as renewals of its
    /// lease, so the worker's tasks were never started elsewhere.
    void worker_refusingConnections_itsTasksRunElsewhereAfterLeaseExpiry()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 4));
        simulation_->advance(Milliseconds(300));
        const WorkerId removed = simulation_->starts().front().worker;
        simulation_->workerDelivery = [removed](const InstanceId &, const WorkerRequest &request) {
            return request.worker == removed ? CellSimulation::Delivery::NotSent
                                             : CellSimulation::Delivery::Delivered;
        };
        simulation_->store().remove({RecordType::Workers, removed.value()});
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void worker_restartedAndCutOff_itsTasksRunElsewhereWithoutWaitingForTheLease()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(300));
        const WorkerId restarted = simulation_->starts().front().worker;
        losesCallsTo(restarted, CellSimulation::Delivery::Lost);
        simulation_->worker(simulation_->indexOf(restarted)).restart(simulation_->now());
        simulation_->publishWorkers();
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, longestIdleTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void worker_draining_receivesNoStart()
    {
        simulation_->worker(0).entry.draining = true;
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(1500));
        simulation_->submitAndWait(0, CellSimulation::job("a", 40));
        CPPUNIT_ASSERT(completes("a"));
        for (const CellSimulation::ObservedRun &row : simulation_->starts())
            CPPUNIT_ASSERT(row.worker != simulation_->worker(0).entry.id);
    }

    void worker_thatStopsAnswering_isLoggedWithItsRunsAndLease()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(300));
        const WorkerId silent = simulation_->starts().front().worker;
        losesCallsTo(silent, CellSimulation::Delivery::Lost);
        simulation_->advance(Milliseconds(5200));
        const std::string line = "event=worker_unreachable worker=" + silent.value()
                + " outcome=unanswered listed=true draining=false runs=1 lease_expires_in_ms=";
        CPPUNIT_ASSERT(simulation_->log.find(line) != std::string::npos);
        CPPUNIT_ASSERT(simulation_->log.find("unreachable_millicores=1000") != std::string::npos);
        simulation_->workerDelivery = nullptr;
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT(simulation_->log.find("event=worker_reachable worker=" + silent.value())
                       != std::string::npos);
    }

    void gang_onAWorkerThatLeaves_startsAgainWithoutWaitingForTheLease()
    {
        constexpr std::int64_t members = 20;
        simulation_->plan = runsOf(Milliseconds(30'000));
        JobSpec gang = CellSimulation::job("gang", members);
        gang.steps.front().gang = true;
        stopsTake(longestStop);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Accepted);
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(4000));
        simulation_->advance(Milliseconds(4000));
        simulation_->removeWorker(leaving);
        const auto hasStartedAgain
                = [&] { return simulation_->startsOf(JobId("gang")) == std::size_t(2 * members); };
        CPPUNIT_ASSERT(simulation_->advanceUntil(hasStartedAgain, longestIdleTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void gang_exceedingItsEstimateOnAWorkerThatLeaves_startsAgainInTime()
    {
        constexpr std::int64_t members = 20;
        useApprovals();
        simulation_->approvalDuration = [](const ApprovalRequest &) { return Milliseconds(600); };
        simulation_->plan = runsOf(Milliseconds(5500));
        stopsTake(longestStop);
        JobSpec gang = CellSimulation::job("gang", members);
        gang.steps.front().gang = true;
        gang.steps.front().estimate = Milliseconds(4000);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Accepted);
        const auto hasStarted = [&](std::int64_t starts) {
            return simulation_->startsOf(JobId("gang")) == static_cast<std::size_t>(starts);
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return hasStarted(members); }, longWait));
        simulation_->advance(Milliseconds(1000));
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(3000));
        simulation_->advance(Milliseconds(3000));
        simulation_->removeWorker(leaving);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return hasStarted(2 * members); },
                                                 longestIdleTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void gang_onAWorkerThatLeaves_startsFromTheCheckpointOfTheStop()
    {
        constexpr std::int64_t members = 20;
        simulation_->plan = runsOf(Milliseconds(30'000));
        for (std::size_t i = 0; i < 4; ++i) {
            SimulatedWorker &worker = simulation_->worker(i);
            worker.checkpoints = {{CompletionReason::Stopped, "of the stop"},
                                  {CompletionReason::GangMemberStopped, "of the interval"}};
            worker.stopDuration = Milliseconds(i == 0 ? 300 : 900);
        }
        std::set<std::string> used;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            if (const auto *start = std::get_if<WorkerStart>(&request.command))
                used.insert(start->checkpoint);
            return CellSimulation::Delivery::Delivered;
        };
        JobSpec gang = CellSimulation::job("gang", members);
        gang.steps.front().gang = true;
        simulation_->submitAndWait(0, gang);
        announceLeavingOfFirst(Milliseconds(3000));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("gang")) == std::size_t(2 * members); },
                longWait));
        CPPUNIT_ASSERT((used == std::set<std::string> {"", "of the stop"}));
    }

    void task_almostDoneAtAChangeOfHolder_isNotStopped()
    {
        simulation_->plan = runsOf(Milliseconds(10'000));
        JobSpec job = CellSimulation::job("a");
        job.steps.front().estimate = Milliseconds(10'000);
        simulation_->submitAndWait(0, job);
        simulation_->advance(Milliseconds(5500));
        announceLeavingOfFirst(Milliseconds(5000));
        replaceHolder();
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT(simulation_->starts().front().completedAt.has_value());
        CPPUNIT_ASSERT(simulation_->starts().front().reason == CompletionReason::Succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    void task_onAWorkerThatRepeatsItsEntryWithoutTheTime_startsElsewhereBefore()
    {
        simulation_->plan = runsOf(Milliseconds(30'000));
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(3000));
        simulation_->advance(Milliseconds(500));
        WorkerEntry entry = simulation_->worker(leaving).entry;
        entry.remaining.reset();
        simulation_->store().put({RecordType::Workers, entry.id.value()}, entry);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, Milliseconds(2500)));
    }

    void workers_refusingCallsBrieflyInAStoreOutage_areUsedAgain()
    {
        simulation_->plan = runsOf(Milliseconds(2000));
        JobSpec job = CellSimulation::job("a", 1);
        StepSpec second = job.steps.front();
        second.tasks = 32;
        second.after = {StepIndex(0)};
        job.steps.push_back(second);
        simulation_->submitAndWait(*simulation_->holder(), job);
        simulation_->advance(Milliseconds(1000));
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &) {
            return CellSimulation::Delivery::Lost;
        };
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &) {
            return CellSimulation::Delivery::NotSent;
        };
        simulation_->advance(Milliseconds(1600));
        simulation_->workerDelivery = nullptr;
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 33; }, Milliseconds(4000)));
    }

    void holder_frozenWhileAWorkerWithRunsLeaves_othersStartOlderJobs()
    {
        simulation_->plan = runsOf(Milliseconds(30'000));
        stopsTake(longestStop);
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(7000));
        simulation_->advance(Milliseconds(6000));
        const std::size_t receiver = other();
        simulation_->pause(*simulation_->holder());
        simulation_->submit(receiver, CellSimulation::job("b"));
        simulation_->advance(Milliseconds(1000));
        simulation_->removeWorker(leaving);
        CPPUNIT_ASSERT(startsInTime("b"));
        simulation_->advance(Milliseconds(30'000));
        CPPUNIT_ASSERT(simulation_->startsOf(JobId("a")) > 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void holder_killedWithAWorkerThatHasRuns_othersStartOlderJobs()
    {
        simulation_->plan = runsOf(Milliseconds(30'000));
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(300));
        simulation_->removeWorker(simulation_->indexOf(simulation_->starts().front().worker));
        killHolderAndSubmit("b");
        CPPUNIT_ASSERT(startsInTime("b"));
    }

    void task_completingBeforeItsWorkerLeaves_isNotStopped()
    {
        simulation_->plan = runsOf(Milliseconds(2000));
        JobSpec job = CellSimulation::job("a");
        job.steps.front().estimate = Milliseconds(2000);
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(2500));
        simulation_->advance(Milliseconds(2500));
        simulation_->removeWorker(leaving);
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

    /// The entry of the leaving worker was written seconds before the new holder reads it.
    void task_onAWorkerThatLeavesAfterAChangeOfHolder_startsElsewhereBefore()
    {
        simulation_->plan = runsOf(Milliseconds(30'000));
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        announceLeavingOfFirst(Milliseconds(5000));
        const TimePoint leavesAt = simulation_->now() + Milliseconds(5000);
        simulation_->advance(Milliseconds(2000));
        replaceHolder();
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return simulation_->startsOf(JobId("a")) == 2; },
                                          leavesAt - simulation_->now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void task_onALeavingWorkerThatDoesNotAnswer_startsElsewhereSoonAfterItsLeaving()
    {
        simulation_->plan = runsOf(Milliseconds(30'000));
        simulation_->submitAndWait(0, CellSimulation::job("a"));
        const std::size_t leaving = announceLeavingOfFirst(Milliseconds(8000));
        simulation_->advance(Milliseconds(6000));
        losesCallsTo(simulation_->worker(leaving).entry.id, CellSimulation::Delivery::Lost);
        simulation_->advance(Milliseconds(2000));
        simulation_->removeWorker(leaving);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 2; }, longestIdleTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void workerList_withAnOddEntry_isStillFollowedByEveryHolder()
    {
        putMalformed("odd");
        for (std::size_t next = 0; next < 3; ++next) {
            makeHolder(next);
            const std::string suffix = std::to_string(next);
            // Another odd entry, a draining worker and a removed worker, all after the start.
            putMalformed("odd-" + suffix);
            simulation_->worker(1).entry.draining = true;
            publish(1);
            simulation_->store().remove({RecordType::Workers, idOf(0).value()});
            simulation_->advance(Milliseconds(2000));
            const std::size_t before = simulation_->starts().size();
            CPPUNIT_ASSERT(simulation_->submitAndWait(next, CellSimulation::job("few" + suffix, 16))
                           == CallerOutcome::Accepted);
            CPPUNIT_ASSERT(completes("few" + suffix));
            for (std::size_t i = before; i < simulation_->starts().size(); ++i) {
                CPPUNIT_ASSERT(simulation_->starts()[i].worker != idOf(0));
                CPPUNIT_ASSERT(simulation_->starts()[i].worker != idOf(1));
            }
            simulation_->worker(1).entry.draining = false;
            publish(0);
            publish(1);
            simulation_->advance(Milliseconds(2000));
            std::set<WorkerId> used;
            const std::size_t all = simulation_->starts().size();
            CPPUNIT_ASSERT(simulation_->submitAndWait(next, CellSimulation::job("all" + suffix, 32))
                           == CallerOutcome::Accepted);
            CPPUNIT_ASSERT(completes("all" + suffix));
            for (std::size_t i = all; i < simulation_->starts().size(); ++i)
                used.insert(simulation_->starts()[i].worker);
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void workerEntry_replacedByAnOddOne_isUsedAgainAfterItsReturn()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 32));
        simulation_->advance(Milliseconds(300));
        putMalformed(idOf(2).value());
        // Runs on the worker go on.
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), simulation_->startsOf(JobId("a")));
        simulation_->submitAndWait(0, CellSimulation::job("b", 24));
        CPPUNIT_ASSERT(completes("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(idOf(2), "b"));
        publish(2);
        simulation_->advance(Milliseconds(1000));
        simulation_->submitAndWait(0, CellSimulation::job("c", 32));
        CPPUNIT_ASSERT(completes("c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), startsOn(idOf(2), "c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void workerEntry_malformed_isLoggedOncePerChange()
    {
        putMalformed("odd");
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged("event=worker_entry_malformed"));
        putMalformed("odd");
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), logged("event=worker_entry_malformed"));
    }

    void workerName_withALineBreak_isLoggedInOneLine()
    {
        putMalformed("odd\nevent=forged\r\x1b[2J");
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged("event=worker_entry_malformed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), logged("\nevent=forged"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), logged("\x1b"));
    }

    void worker_removedWhileAHolderLoads_receivesNoStart()
    {
        beginSlowTakeover();
        simulation_->store().remove({RecordType::Workers, idOf(0).value()});
        finishSlowTakeover();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(idOf(0), "a"));
    }

    void workerEntry_replacedByAnOddOneWhileAHolderLoads_receivesNoStart()
    {
        beginSlowTakeover();
        putMalformed(idOf(0).value());
        finishSlowTakeover();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsOn(idOf(0), "a"));
    }

    /// A start time in the future does not prove a restart: the worker's tasks still run.
    void workerEntry_withAnImpossibleIncarnation_startsNothingTwice()
    {
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 8));
        simulation_->advance(Milliseconds(300));
        for (std::size_t i = 0; i < 4; ++i) {
            if (startsOn(idOf(i), "a") > 0)
                publishWithImpossibleIncarnation(i);
        }
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), simulation_->startsOf(JobId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// A restarted worker has a lower start time than the entry, and numbers its completions anew.
    void workerEntry_withAnImpossibleIncarnation_laterRestartIsRecognized()
    {
        for (int i = 0; i < 2; ++i) {
            const std::string job = "before" + std::to_string(i);
            simulation_->submitAndWait(0, CellSimulation::job(job, 32));
            CPPUNIT_ASSERT(completes(job));
        }
        for (std::size_t i = 0; i < 4; ++i)
            publishWithImpossibleIncarnation(i);
        simulation_->advance(Milliseconds(1000));
        simulation_->submitAndWait(0, CellSimulation::job("between", 32));
        CPPUNIT_ASSERT(completes("between"));
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->worker(i).restart(simulation_->now());
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(3000));
        simulation_->submitAndWait(0, CellSimulation::job("after", 4));
        CPPUNIT_ASSERT(completes("after"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), simulation_->startsOf(JobId("after")));
    }

    void workerEntry_whereNobodyAnswers_doesNotDelayTheNextHolder()
    {
        putUnreachable("odd");
        simulation_->advance(Milliseconds(3000));
        for (int i = 0; i < 3; ++i)
            assertPromptTakeover();
    }

    void workerEntry_movedToWhereNobodyAnswers_doesNotDelayTheNextHolder()
    {
        simulation_->submitAndWait(0, CellSimulation::job("a", 32));
        CPPUNIT_ASSERT(completes("a"));
        putUnreachable(idOf(0).value());
        simulation_->advance(Milliseconds(15'000));
        assertPromptTakeover();
        publish(0);
        simulation_->advance(Milliseconds(3000));
        simulation_->submitAndWait(other(), CellSimulation::job("b", 32));
        CPPUNIT_ASSERT(completes("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), startsOn(idOf(0), "b"));
    }

    void workerEntry_whereNobodyAnswers_doesNotDelayStarts()
    {
        putUnreachable("odd");
        simulation_->advance(Milliseconds(1000));
        simulation_->submitAndWait(0, CellSimulation::job("a", 32));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 32; }, Milliseconds(300)));
    }

    void workerEntry_withExcessiveCapacity_doesNotHoldTasksBack()
    {
        simulation_->worker(0).refusesOverload = true;
        WorkerEntry excessive = simulation_->worker(0).entry;
        excessive.capacity.processors = Millicores(100'000'000);
        excessive.capacity.memory = Bytes(std::int64_t(1) << 50);
        simulation_->store().put({RecordType::Workers, excessive.id.value()}, excessive);
        simulation_->advance(Milliseconds(1500));
        simulation_->plan = longRuns();
        simulation_->submitAndWait(0, CellSimulation::job("a", 32));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 32; }, Milliseconds(3000)));
        JobSpec gang = CellSimulation::job("gang", 16);
        gang.steps.front().gang = true;
        simulation_->submitAndWait(0, gang);
        CPPUNIT_ASSERT(completes("gang"));
    }

    void store_refusingWrites_jobIsReportedAsNotRun()
    {
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &request) {
            return std::holds_alternative<StoreCommit>(request)
                    ? CellSimulation::Delivery::Refused
                    : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a"))
                       == CallerOutcome::Refused);
        simulation_->storeDelivery = nullptr;
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("a")));
    }

    void store_losingTheReply_acceptsTheJobOnce()
    {
        int commits = 0;
        simulation_->storeDelivery = [&](const InstanceId &, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isJob = commit && commit->preconditions.front().key.type == RecordType::Jobs;
            return isJob && ++commits == 1 ? CellSimulation::Delivery::AnswerLost
                                           : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(completes("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

private:
    void useApprovals()
    {
        Queue &queue = simulation_->configuration.queues.front();
        queue.approval = ApprovalSettings {Milliseconds(20), 100, Milliseconds(2000)};
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(200));
    }

    static std::function<SimulatedWorker::RunPlan(const TaskKey &, RunNumber)>
    runsOf(Milliseconds duration)
    {
        return [duration](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {duration, CompletionReason::Succeeded};
        };
    }
    static std::function<SimulatedWorker::RunPlan(const TaskKey &, RunNumber)> longRuns()
    {
        return runsOf(Milliseconds(4000));
    }
    void stopsTake(Milliseconds duration)
    {
        for (std::size_t i = 0; i < 4; ++i)
            simulation_->worker(i).stopDuration = duration;
    }
    /// The worker of the first start announces that it leaves.
    std::size_t announceLeavingOfFirst(Milliseconds remaining)
    {
        simulation_->advance(Milliseconds(300));
        const std::size_t leaving = simulation_->indexOf(simulation_->starts().front().worker);
        simulation_->announceLeaving(leaving, remaining);
        return leaving;
    }
    /// Kills the holder and waits until another instance is the holder.
    void replaceHolder()
    {
        simulation_->kill(*simulation_->holder());
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
    }
    /// Kills the holder and submits a job to another instance, which accepts it in the generation
    /// of the killed holder.
    void killHolderAndSubmit(const std::string &job)
    {
        const std::size_t receiver = other();
        simulation_->kill(*simulation_->holder());
        CPPUNIT_ASSERT(simulation_->submitAndWait(receiver, CellSimulation::job(job))
                       == CallerOutcome::Accepted);
        const RecordValue *record = simulation_->store().find({RecordType::Jobs, job});
        CPPUNIT_ASSERT(record);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), std::get<AcceptedJob>(*record).generation);
    }
    /// Whether the job starts within the time that users let accepted work wait with free capacity.
    bool startsInTime(const std::string &job)
    {
        return simulation_->advanceUntil([&] { return simulation_->startsOf(JobId(job)) > 0; },
                                         Milliseconds(3000));
    }
    void losesCallsTo(const WorkerId &worker, CellSimulation::Delivery delivery)
    {
        simulation_->workerDelivery = [worker, delivery](const InstanceId &,
                                                         const WorkerRequest &request) {
            return request.worker == worker ? delivery : CellSimulation::Delivery::Delivered;
        };
    }
    /// The roster that closes the worker or lacks it is stored, but the reply is lost, and the
    /// worker answers the old holder again, but not the next one.
    void checkNoStartsWhileUnconfirmed(const WorkerId &dropped)
    {
        const std::size_t old = *simulation_->holder();
        const std::size_t receiver = other();
        losesCallsTo(dropped, CellSimulation::Delivery::Lost);
        bool isDropped = false;
        simulation_->storeDelivery = [&](const InstanceId &id, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            if (!commit || id != instanceId(old))
                return CellSimulation::Delivery::Delivered;
            const bool isFirst = !isDropped && writesRoster(*commit);
            isDropped |= isFirst;
            return isFirst ? CellSimulation::Delivery::AnswerLost : CellSimulation::Delivery::Lost;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return isDropped; }, Milliseconds(3000)));
        simulation_->workerDelivery = [old, dropped](const InstanceId &id,
                                                     const WorkerRequest &request) {
            const bool isReached = (id == instanceId(old)) == (request.worker == dropped);
            return isReached ? CellSimulation::Delivery::Delivered : CellSimulation::Delivery::Lost;
        };
        simulation_->advance(Milliseconds(3000));
        CPPUNIT_ASSERT(simulation_->submitAndWait(receiver, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(JobId("a")));
        cutOffFromStore(old);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) > 0; }, Milliseconds(4000)));
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }
    /// Starts four tasks of a job, of which at least one is on a worker that the holder then finds
    /// unreachable. Returns an instance that is not the holder.
    std::size_t loseWorkerWithRunsOf(const std::string &job)
    {
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(10'000), CompletionReason::Succeeded};
        };
        const std::size_t receiver = other();
        simulation_->submitAndWait(receiver, CellSimulation::job(job, 4));
        simulation_->advance(Milliseconds(300));
        losesCallsTo(simulation_->starts().front().worker, CellSimulation::Delivery::Lost);
        simulation_->advance(noticesLoss);
        return receiver;
    }
    void drainAllBut(const std::set<WorkerId> &workers)
    {
        for (std::size_t i = 0; i < 4; ++i) {
            WorkerEntry &entry = simulation_->worker(i).entry;
            entry.draining = !workers.contains(entry.id);
        }
        simulation_->publishWorkers();
        simulation_->advance(Milliseconds(1500));
    }
    void reachableByOnly(const WorkerId &worker, std::size_t instance)
    {
        simulation_->workerDelivery
                = [worker, instance](const InstanceId &id, const WorkerRequest &request) {
                      return request.worker == worker && id != instanceId(instance)
                              ? CellSimulation::Delivery::Lost
                              : CellSimulation::Delivery::Delivered;
                  };
    }
    void cutOffFromStore(std::size_t instance)
    {
        simulation_->storeDelivery = [instance](const InstanceId &id, const StoreRequest &) {
            return id == instanceId(instance) ? CellSimulation::Delivery::Lost
                                              : CellSimulation::Delivery::Delivered;
        };
    }
    static InstanceId instanceId(std::size_t index)
    {
        return InstanceId("entry-" + std::to_string(index));
    }
    static bool writesRoster(const StoreCommit &commit)
    {
        return std::any_of(commit.writes.begin(), commit.writes.end(), [](const StoreWrite &write) {
            return write.key.type == RecordType::Roster;
        });
    }
    /// Makes one instance the holder, then restarts the others.
    void makeHolder(std::size_t next)
    {
        for (std::size_t i = 0; i < 3; ++i) {
            if (i != next)
                simulation_->kill(i);
        }
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return simulation_->holder() == next; }, longWait));
        for (std::size_t i = 0; i < 3; ++i) {
            if (i != next)
                simulation_->restart(i);
        }
        simulation_->advance(Milliseconds(1500));
    }

    void putMalformed(const std::string &name)
    {
        simulation_->store().put({RecordType::Workers, name}, Malformed {});
    }
    void publish(std::size_t worker)
    {
        simulation_->store().put({RecordType::Workers, idOf(worker).value()},
                                 simulation_->worker(worker).entry);
    }
    void publishWithImpossibleIncarnation(std::size_t worker)
    {
        WorkerEntry entry = simulation_->worker(worker).entry;
        entry.incarnation = WorkerIncarnation(std::uint64_t(1) << 62);
        simulation_->store().put({RecordType::Workers, entry.id.value()}, entry);
    }
    /// Writes an entry with an address where nobody answers.
    void putUnreachable(const std::string &name)
    {
        WorkerEntry entry = simulation_->worker(0).entry;
        entry.id = WorkerId(name);
        entry.address = nobody;
        simulation_->store().put({RecordType::Workers, name}, entry);
        simulation_->workerDelivery = [](const InstanceId &, const WorkerRequest &request) {
            return request.address == nobody ? CellSimulation::Delivery::Lost
                                             : CellSimulation::Delivery::Delivered;
        };
    }
    const WorkerId &idOf(std::size_t worker) { return simulation_->worker(worker).entry.id; }
    std::size_t startsOn(const WorkerId &worker, const std::string &job) const
    {
        const auto &starts = simulation_->starts();
        return static_cast<std::size_t>(std::count_if(
                starts.begin(), starts.end(), [&](const CellSimulation::ObservedRun &row) {
                    return row.worker == worker && row.task.job == JobId(job);
                }));
    }
    std::size_t logged(const std::string &text) const
    {
        std::size_t count = 0;
        for (std::size_t at = simulation_->log.find(text); at != std::string::npos;
             at = simulation_->log.find(text, at + 1))
            ++count;
        return count;
    }
    void assertPromptTakeover()
    {
        const std::size_t old = *simulation_->holder();
        replaceHolder();
        simulation_->log.clear();
        simulation_->advance(Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged("event=workers_recovered"));
        simulation_->restart(old);
        simulation_->advance(Milliseconds(1500));
    }
    /// Replaces the holder by one whose reads of job progress are refused, so that it keeps
    /// loading.
    void beginSlowTakeover()
    {
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &request) {
            const auto *list = std::get_if<StoreList>(&request);
            return list && list->type == RecordType::Progress ? CellSimulation::Delivery::Lost
                                                              : CellSimulation::Delivery::Delivered;
        };
        replaceHolder();
        simulation_->advance(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged("event=holder_state_loaded"));
    }
    void finishSlowTakeover()
    {
        simulation_->advance(Milliseconds(1200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), logged("event=holder_state_loaded"));
        simulation_->storeDelivery = nullptr;
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return logged("event=holder_state_loaded") == 2; }, longWait));
        simulation_->advance(Milliseconds(3000));
        simulation_->submitAndWait(*simulation_->holder(), CellSimulation::job("a", 32));
        simulation_->advance(Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), simulation_->startsOf(JobId("a")));
    }

    /// An instance that is not the holder.
    std::size_t other() const { return (*simulation_->holder() + 1) % 3; }
    bool completes(const std::string &job) { return reaches(job, JobState::Completed); }
    bool reaches(const std::string &job, JobState state)
    {
        return simulation_->advanceUntil(
                [&] { return simulation_->stateOf(0, JobId(job)) == state; }, longWait);
    }

    static constexpr Milliseconds longWait {20'000};
    /// A job for which there is capacity has something running again within this time.
    static constexpr Milliseconds longestIdleTime {3000};
    /// Bound of the time that a worker takes for a stop.
    static constexpr Milliseconds longestStop {900};
    static inline const Address nobody {"10.9.9.9", 9};
    /// A heartbeat that the worker answers after 1.5 s, and the next one without an answer (2.3 s).
    static constexpr Milliseconds noticesLoss {4000};
    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellInstanceTest);

} // namespace caraway::tests
