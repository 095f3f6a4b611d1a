#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Starts that are recorded before they are sent, of tasks under which workers have crashed.
class RecordedStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordedStartTest);
    CPPUNIT_TEST(start_afterAnUnsentOneOfItsTask_waitsForItsOwnRecord);
    CPPUNIT_TEST(start_refusedByItsWorker_isNotRecordedAnyMore);
    CPPUNIT_TEST(start_whoseTicketExpiresWhileItIsRecorded_isSentWithAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a start that is sent on the record of another run.
    void start_afterAnUnsentOneOfItsTask_waitsForItsOwnRecord()
    {
        CellSimulation simulation(3, 4);
        std::vector<std::pair<RunNumber, RunNumber>> startedAndRecorded;
        simulation.plan = [&](const TaskKey &, RunNumber run) {
            startedAndRecorded.emplace_back(run, recordedRun(simulation));
            const bool isFirst = startedAndRecorded.size() == 1;
            return SimulatedWorker::RunPlan {Milliseconds(3000), CompletionReason::Succeeded,
                                             isFirst ? std::optional(Milliseconds(200))
                                                     : std::nullopt};
        };
        bool isStartInCommit = false;
        simulation.storeReplyDelay = [&](const StoreRequest &request) {
            const bool isFirst = !isStartInCommit && recordsAStart(request);
            isStartInCommit = isStartInCommit || isFirst;
            return Milliseconds(isFirst ? 900 : 0);
        };
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return simulation.holder().has_value(); }, longWait));
        simulation.advance(Milliseconds(1000));
        CPPUNIT_ASSERT(simulation.submitAndWait(*simulation.holder(), CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return isStartInCommit; }, longWait));
        for (std::size_t worker = 0; worker < 4; ++worker) {
            simulation.crashWorker(worker);
            simulation.restartWorker(worker);
        }
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return startedAndRecorded.size() == 2; }, longWait));
        CPPUNIT_ASSERT_EQUAL(startedAndRecorded.back().first.value(),
                             startedAndRecorded.back().second.value());
    }

    /// Guards against a crash that the next holder counts under a run that never began.
    void start_refusedByItsWorker_isNotRecordedAnyMore()
    {
        CellSimulation simulation(3, 1);
        bool isFirst = true;
        simulation.plan = [&](const TaskKey &, RunNumber) {
            const bool crashes = std::exchange(isFirst, false);
            return SimulatedWorker::RunPlan {Milliseconds(3000), CompletionReason::Succeeded,
                                             crashes ? std::optional(Milliseconds(200))
                                                     : std::nullopt};
        };
        std::size_t refused = 0;
        simulation.workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            if (isFirst || !std::holds_alternative<WorkerStart>(request.command))
                return CellSimulation::Delivery::Delivered;
            ++refused;
            return CellSimulation::Delivery::Refused;
        };
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return simulation.holder().has_value(); }, longWait));
        simulation.advance(Milliseconds(1000));
        CPPUNIT_ASSERT(simulation.submitAndWait(*simulation.holder(), CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return refused == 1; }, longWait));
        CPPUNIT_ASSERT(recordedRun(simulation) != RunNumber());
        simulation.advance(Milliseconds(300));
        CPPUNIT_ASSERT(recordedRun(simulation) == RunNumber());
    }

    /// Guards against starts that the worker refuses, as their tickets have expired.
    void start_whoseTicketExpiresWhileItIsRecorded_isSentWithAnother()
    {
        constexpr Milliseconds validity(500);
        CellSimulation simulation(3, 1);
        simulation.configuration.queues.front().approval
                = ApprovalSettings {Milliseconds(20), 100, validity};
        simulation.configuration.version = ConfigurationVersion(2);
        simulation.publishConfiguration();
        bool isFirst = true;
        simulation.plan = [&](const TaskKey &, RunNumber) {
            const bool crashes = std::exchange(isFirst, false);
            return SimulatedWorker::RunPlan {Milliseconds(1000), CompletionReason::Succeeded,
                                             crashes ? std::optional(Milliseconds(200))
                                                     : std::nullopt};
        };
        std::size_t recorded = 0;
        simulation.storeReplyDelay = [&](const StoreRequest &request) {
            recorded += recordsAStart(request) ? 1 : 0;
            return Milliseconds(recorded == 1 && recordsAStart(request) ? 900 : 0);
        };
        TimePoint approvedAt;
        simulation.approvalDuration = [&](const ApprovalRequest &) {
            approvedAt = simulation.now();
            return Milliseconds(20);
        };
        std::size_t expired = 0;
        simulation.workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            const bool isExpired = std::holds_alternative<WorkerStart>(request.command)
                    && simulation.now() - approvedAt >= validity;
            expired += isExpired ? 1 : 0;
            return CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(
                simulation.advanceUntil([&] { return simulation.holder().has_value(); }, longWait));
        simulation.advance(Milliseconds(1000));
        const std::size_t holder = *simulation.holder();
        CPPUNIT_ASSERT(simulation.submitAndWait(holder, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation.advanceUntil(
                [&] { return simulation.stateOf(holder, JobId("a")) == JobState::Completed; },
                longWait));
        CPPUNIT_ASSERT(recorded > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), expired);
    }

private:
    static constexpr Milliseconds longWait {20'000};

    static RunNumber recordedRun(CellSimulation &simulation)
    {
        const RecordValue *value = simulation.store().find({RecordType::Progress, "a"});
        const auto *progress = value ? std::get_if<JobProgress>(value) : nullptr;
        if (!progress || progress->steps.front().starts.empty())
            return {};
        return progress->steps.front().starts.begin()->second.run;
    }
    static bool recordsAStart(const StoreRequest &request)
    {
        const auto *commit = std::get_if<StoreCommit>(&request);
        return commit
                && std::any_of(commit->writes.begin(), commit->writes.end(),
                               [](const StoreWrite &write) {
                                   const auto *progress = std::get_if<JobProgress>(&write.value);
                                   return progress && !progress->steps.empty()
                                           && !progress->steps.front().starts.empty();
                               });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordedStartTest);

} // namespace caraway::tests
