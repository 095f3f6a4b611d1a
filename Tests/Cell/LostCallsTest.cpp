#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Calls of which neither a reply nor a timeout reaches the decisions.
class LostCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostCallsTest);
    CPPUNIT_TEST(start_withoutAnyReply_isResolvedAndTheTaskRuns);
    CPPUNIT_TEST(heartbeat_withoutAnyReply_isSentAgain);
    CPPUNIT_TEST(stop_withoutAnyReply_isSentAgain);
    CPPUNIT_TEST(commit_withoutAnyReply_isSentAgain);
    CPPUNIT_TEST(listOfTheHolder_withoutAnyReply_isReadAgain);
    CPPUNIT_TEST(approvalRequest_withoutAnyReply_isSentAgain);
    CPPUNIT_TEST(holder_unconfirmed_readsItsWorkersAtIntervals);
    CPPUNIT_TEST(calls_inFlightDuringAPause_areCompletedByTheirReplies);
    CPPUNIT_TEST(call_ofALateProcess_isUnansweredOnlyAfterItsTimeLimit);
    CPPUNIT_TEST(relayedRequest_answeredWhileTheProcessIsLate_hasItsOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
    }

    /// The start is not carried out and its timeout is not reported.
    void start_withoutAnyReply_isResolvedAndTheTaskRuns()
    {
        dropsFirst<WorkerStart>(Delivery::Dropped);
        submit(CellSimulation::job("a"));
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return startsOf("a") == 1; }, longestIdleTime));
    }

    /// Guards against heartbeats as fast as the workers reply while the store is away.
    void holder_unconfirmed_readsItsWorkersAtIntervals()
    {
        simulation_->storeDelivery
                = [](const InstanceId &, const StoreRequest &) { return Delivery::Lost; };
        simulation_->advance(Milliseconds(9000));
        CPPUNIT_ASSERT(simulation_->holder().has_value());
        std::size_t heartbeats = 0;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            heartbeats += std::holds_alternative<WorkerHeartbeat>(request.command) ? 1 : 0;
            return Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_GREATER(std::size_t(0), heartbeats);
        CPPUNIT_ASSERT_LESS(std::size_t(20), heartbeats);
    }

    void relayedRequest_answeredWhileTheProcessIsLate_hasItsOutcome()
    {
        const std::size_t relaying = *simulation_->holder() == 0 ? 1 : 0;
        const InstanceId id("entry-" + std::to_string(relaying));
        simulation_->storeDelivery = [id](const InstanceId &instance, const StoreRequest &) {
            return instance == id ? Delivery::Lost : Delivery::Delivered;
        };
        simulation_->advance(Milliseconds(8000));
        const CallerRequestId request = simulation_->submit(relaying, CellSimulation::job("a"));
        simulation_->advance(Milliseconds(2));
        CPPUNIT_ASSERT(simulation_->log.find("event=request_relayed") != std::string::npos);
        simulation_->pause(relaying);
        const TimePoint pausedAt = simulation_->now();
        simulation_->advance(Milliseconds(2000));
        simulation_->instance(relaying).handle(simulation_->now(),
                                               WallTime(simulation_->now().sinceStart().count()),
                                               Tick {pausedAt});
        simulation_->resume(relaying);
        simulation_->advance(Milliseconds(100));
        const std::optional<CallerAnswer> answer = simulation_->answerOf(request);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(CallerOutcome::Accepted),
                             static_cast<int>(answer->outcome));
    }

    void heartbeat_withoutAnyReply_isSentAgain()
    {
        // Longer than a heartbeat waits, so that the next one is answered by the completion.
        static constexpr Milliseconds duration {2000};
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {duration, CompletionReason::Succeeded};
        };
        JobSpec job = CellSimulation::job("a");
        job.steps.push_back(job.steps.front());
        job.steps.back().after = {StepIndex(0)};
        submit(job);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return startsOf("a") == 1; }, longWait));
        std::set<WorkerId> dropped;
        simulation_->workerDelivery = [&](const InstanceId &, const WorkerRequest &request) {
            const bool isFirst = std::holds_alternative<WorkerHeartbeat>(request.command)
                    && dropped.insert(request.worker).second;
            return isFirst ? Delivery::ReplyDropped : Delivery::Delivered;
        };
        simulation_->advance(duration);
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return startsOf("a") == 2; }, longestIdleTime));
    }

    void stop_withoutAnyReply_isSentAgain()
    {
        simulation_->plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {longWait, CompletionReason::Succeeded};
        };
        submit(CellSimulation::job("a"));
        simulation_->advance(Milliseconds(300));
        dropsFirst<WorkerStop>(Delivery::Dropped);
        simulation_->cancel(0, JobId("a"));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->starts().front().completedAt.has_value(); },
                longestIdleTime));
    }

    void commit_withoutAnyReply_isSentAgain()
    {
        submit(CellSimulation::job("a"));
        bool isDropped = false;
        simulation_->storeDelivery = [&](const InstanceId &, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isResult = commit && !commit->writes.empty()
                    && commit->writes.back().key.type == RecordType::Results;
            if (!isResult || std::exchange(isDropped, true))
                return Delivery::Delivered;
            return Delivery::Dropped;
        };
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return isDropped; }, longWait));
        simulation_->advance(longestIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->store().count(RecordType::Results));
    }

    void listOfTheHolder_withoutAnyReply_isReadAgain()
    {
        bool isDropped = false;
        simulation_->storeDelivery = [&](const InstanceId &, const StoreRequest &request) {
            const auto *list = std::get_if<StoreList>(&request);
            if (!list || list->type != RecordType::Holder || std::exchange(isDropped, true))
                return Delivery::Delivered;
            return Delivery::Dropped;
        };
        simulation_->advance(Milliseconds(9000));
        CPPUNIT_ASSERT(isDropped);
        submit(CellSimulation::job("a"));
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return startsOf("a") == 1; }, longestIdleTime));
    }

    void approvalRequest_withoutAnyReply_isSentAgain()
    {
        Queue &queue = simulation_->configuration.queues.front();
        queue.approval = ApprovalSettings {Milliseconds(20), 100, Milliseconds(2000)};
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(200));
        bool isDropped = false;
        simulation_->approvalDelivery = [&](const InstanceId &, const ApprovalRequest &) {
            return std::exchange(isDropped, true) ? Delivery::Delivered : Delivery::Dropped;
        };
        submit(CellSimulation::job("a"));
        CPPUNIT_ASSERT(
                simulation_->advanceUntil([&] { return startsOf("a") == 1; }, longestIdleTime));
        CPPUNIT_ASSERT(isDropped);
    }

    /// Guards against sound workers that count as silent, as their replies are handled late.
    void call_ofALateProcess_isUnansweredOnlyAfterItsTimeLimit()
    {
        const auto at = [](std::int64_t ms) { return TimePoint(Milliseconds(ms)); };
        CellContext context({}, {});
        int replies = 0;
        context.setTime(at(3000), {});
        context.tick(at(1000));
        context.callStore(
                StoreGet {{RecordType::Holder, {}}}, [&](const StoreReply &) { ++replies; },
                Milliseconds(500));
        for (std::int64_t created = 1025; created < 3500; created += 25) {
            context.setTime(at(created + 2000), {});
            context.tick(at(created));
        }
        CPPUNIT_ASSERT_EQUAL(0, replies);
        for (std::int64_t created = 3500; created < 4000; created += 25) {
            context.setTime(at(created + 2000), {});
            context.tick(at(created));
        }
        CPPUNIT_ASSERT_EQUAL(1, replies);
    }

    /// After a pause, the replies that arrived meanwhile may be handled later than the first tick.
    void calls_inFlightDuringAPause_areCompletedByTheirReplies()
    {
        CellContext context({}, {});
        int replies = 0;
        StoreOutcome outcome = StoreOutcome::Unanswered;
        context.setTime(TimePoint(Milliseconds(1000)), {});
        context.tick(context.now());
        context.callStore(
                StoreGet {{RecordType::Holder, {}}},
                [&](const StoreReply &reply) {
                    ++replies;
                    outcome = reply.outcome;
                },
                Milliseconds(500));
        const CallId call = context.takeActions().store.front().id;
        context.setTime(TimePoint(Milliseconds(60'000)), {});
        context.tick(context.now());
        CPPUNIT_ASSERT_EQUAL(0, replies);
        context.complete(call, StoreReply {StoreOutcome::Done, {}, false, {}, {}});
        CPPUNIT_ASSERT_EQUAL(1, replies);
        CPPUNIT_ASSERT(outcome == StoreOutcome::Done);
    }

private:
    using Delivery = CellSimulation::Delivery;

    template<class Command>
    void dropsFirst(Delivery delivery)
    {
        simulation_->workerDelivery = [delivery,
                                       isDropped = false](const InstanceId &,
                                                          const WorkerRequest &request) mutable {
            if (!std::holds_alternative<Command>(request.command) || std::exchange(isDropped, true))
                return Delivery::Delivered;
            return delivery;
        };
    }
    void submit(const JobSpec &job)
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(*simulation_->holder(), job)
                       == CallerOutcome::Accepted);
    }
    std::size_t startsOf(const std::string &job) const { return simulation_->startsOf(JobId(job)); }

    static constexpr Milliseconds longWait {20'000};
    /// A job for which there is capacity has something running again within this time.
    static constexpr Milliseconds longestIdleTime {3000};
    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostCallsTest);

} // namespace caraway::tests
