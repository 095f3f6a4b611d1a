#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace caraway::tests {

using namespace cell;

/// Keys, caps and shares of client accounts in a cell, under takeovers and outages of the store.
class ClientAccountsTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(ClientAccountsTest);
    CPPUNIT_TEST(request_withoutAKeyOfAnAccount_isUnauthorized);
    CPPUNIT_TEST(request_toAPublicQueue_needsNoKey);
    CPPUNIT_TEST(key_thatIsAddedAgain_isAccepted);
    CPPUNIT_TEST(key_withdrawnWhileTheStoreTurnsTheInstanceAway_isRefused);
    CPPUNIT_TEST(key_withdrawnWhileTheStoreTurnsTheHolderAway_isRefused);
    CPPUNIT_TEST(validKey_atAnInstanceThatTheStoreTurnsAway_isAccepted);
    CPPUNIT_TEST(request_whileNoInstanceReachesTheStore_isNotExecuted);
    CPPUNIT_TEST(cancel_byAnotherAccount_isForbidden);
    CPPUNIT_TEST(log_ofRefusedRequests_hasNoKey);
    CPPUNIT_TEST(job_widerThanTheCap_runsInWaves);
    CPPUNIT_TEST(cap_loweredDuringAFlood_allowsNoFurtherStarts);
    CPPUNIT_TEST(cap_afterATakeoverWithAnUnreadWorker_isKept);
    CPPUNIT_TEST(gang_thatNeedsMoreThanTheCap_isRefused);
    CPPUNIT_TEST(gang_besideSmallTasksOfItsAccount_starts);
    CPPUNIT_TEST(flood_ofOneAccount_leavesTheOthersTheirShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        CellConfiguration &configuration = simulation_->configuration;
        configuration.hasAccounts = true;
        configuration.accounts = {account("large", 30'000), account("small", 10'000)};
        publish();
        awaitHolder();
        simulation_->advance(Milliseconds(2000));
        simulation_->key = keyOf("large");
    }

    void request_withoutAKeyOfAnAccount_isUnauthorized()
    {
        simulation_->key = {};
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Unauthorized);
        simulation_->key = AccountKey("no-such-key");
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Unauthorized);
        CPPUNIT_ASSERT(simulation_->starts().empty());
    }

    void request_toAPublicQueue_needsNoKey()
    {
        simulation_->configuration.queues.front().isPublic = true;
        publish();
        simulation_->key = {};
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Accepted);
    }

    void key_thatIsAddedAgain_isAccepted()
    {
        withdrawKeys();
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Unauthorized);
        simulation_->configuration.accounts.front().keys = {keyOf("large")};
        publish();
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Accepted);
    }

    /// Guards against an instance that goes on with the configuration that it read last.
    void key_withdrawnWhileTheStoreTurnsTheInstanceAway_isRefused()
    {
        const std::size_t cutOff = otherThanHolder();
        turnAway(cutOff);
        withdrawKeys();
        simulation_->advance(applyTime);
        CPPUNIT_ASSERT(submitNew(cutOff) == CallerOutcome::Unauthorized);
    }

    void key_withdrawnWhileTheStoreTurnsTheHolderAway_isRefused()
    {
        const std::size_t cutOff = *simulation_->holder();
        turnAway(cutOff);
        withdrawKeys();
        simulation_->advance(applyTime);
        CPPUNIT_ASSERT(submitNew(cutOff) != CallerOutcome::Accepted);
    }

    void validKey_atAnInstanceThatTheStoreTurnsAway_isAccepted()
    {
        const std::size_t cutOff = otherThanHolder();
        turnAway(cutOff);
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT(submitNew(cutOff) == CallerOutcome::Accepted);
    }

    void request_whileNoInstanceReachesTheStore_isNotExecuted()
    {
        simulation_->storeDelivery = [](const InstanceId &, const StoreRequest &) {
            return CellSimulation::Delivery::Refused;
        };
        simulation_->advance(Milliseconds(4000));
        for (std::size_t i = 0; i < instances; ++i) {
            const CallerOutcome outcome = submitNew(i);
            CPPUNIT_ASSERT(outcome == CallerOutcome::NotReady || outcome == CallerOutcome::Refused);
        }
    }

    void cancel_byAnotherAccount_isForbidden()
    {
        plan(Milliseconds(5000));
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation_->key = keyOf("small");
        CPPUNIT_ASSERT(cancel("a") == CallerOutcome::Forbidden);
        simulation_->key = keyOf("large");
        CPPUNIT_ASSERT(cancel("a") == CallerOutcome::Cancelled);
    }

    void log_ofRefusedRequests_hasNoKey()
    {
        simulation_->key = AccountKey("secret-of-a-caller");
        CPPUNIT_ASSERT(submitNew() == CallerOutcome::Unauthorized);
        CPPUNIT_ASSERT(logged("reason=unknown_key") > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), logged("secret-of-a-caller"));
    }

    void job_widerThanTheCap_runsInWaves()
    {
        setCap(capTasks);
        submit(CellSimulation::job("a", 4 * capTasks));
        simulation_->advance(Milliseconds(5000));
        CPPUNIT_ASSERT(isCompleted(JobId("a")));
        CPPUNIT_ASSERT_EQUAL(capTasks, mostAtOnce());
    }

    void cap_loweredDuringAFlood_allowsNoFurtherStarts()
    {
        setCap(4 * capTasks);
        plan(Milliseconds(3000));
        for (int i = 0; i < 20; ++i)
            submit(CellSimulation::job(fmt::format("job-{}", i), 2));
        CPPUNIT_ASSERT_EQUAL(4 * capTasks, mostAtOnce());
        setCap(capTasks);
        const TimePoint loweredAt = simulation_->now();
        simulation_->advance(Milliseconds(8000));
        CPPUNIT_ASSERT(mostAtOnce(loweredAt + Milliseconds(3500)) <= capTasks);
    }

    /// Guards against runs of the earlier holder that the new one does not know when it starts.
    void cap_afterATakeoverWithAnUnreadWorker_isKept()
    {
        setCap(capTasks);
        plan(Milliseconds(20'000));
        submit(CellSimulation::job("a", capTasks));
        simulation_->advance(Milliseconds(500));
        const std::set<std::size_t> used = workersWithRuns();
        CPPUNIT_ASSERT(!used.empty());
        const WorkerId silent = simulation_->worker(*used.begin()).entry.id;
        const std::size_t former = *simulation_->holder();
        simulation_->workerDelivery = [=](const InstanceId &, const WorkerRequest &request) {
            return request.worker == silent ? CellSimulation::Delivery::Lost
                                            : CellSimulation::Delivery::Delivered;
        };
        simulation_->kill(former);
        awaitHolder();
        submitNew(otherThanHolder());
        simulation_->advance(Milliseconds(15'000));
        CPPUNIT_ASSERT(mostAtOnce() <= capTasks);
    }

    void gang_thatNeedsMoreThanTheCap_isRefused()
    {
        setCap(capTasks);
        JobSpec gang = CellSimulation::job("gang", capTasks + 2);
        gang.steps.front().gang = true;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, gang) == CallerOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->startsOf(gang.id));
    }

    void gang_besideSmallTasksOfItsAccount_starts()
    {
        simulation_->configuration.queues.front().objective = Milliseconds(5000);
        setCap(capTasks);
        for (int i = 0; i < 6; ++i)
            submit(CellSimulation::job(fmt::format("small-{}", i)));
        JobSpec gang = CellSimulation::job("gang", capTasks);
        gang.steps.front().gang = true;
        submit(gang);
        for (int i = 6; i < 30; ++i) {
            submit(CellSimulation::job(fmt::format("small-{}", i)));
            simulation_->advance(Milliseconds(100));
        }
        CPPUNIT_ASSERT(simulation_->startsOf(gang.id) >= static_cast<std::size_t>(capTasks));
    }

    /// Guards against an account that takes the fleet from the others: they complete at least 95%
    /// of what they complete without its flood.
    void flood_ofOneAccount_leavesTheOthersTheirShare()
    {
        const std::size_t alone = completedOfSmall(normalJobsPerSecond);
        tearDown();
        setUp();
        const std::size_t beside = completedOfSmall(floodJobsPerSecond);
        CPPUNIT_ASSERT(alone > 0);
        CPPUNIT_ASSERT(beside * 20 >= alone * 19);
    }

private:
    static constexpr std::size_t workers = 4;
    static constexpr std::int64_t capTasks = 4;
    static constexpr std::int64_t normalJobsPerSecond = 20;
    /// Six times the usual rate; more than the fleet can run.
    static constexpr std::int64_t floodJobsPerSecond = 120;
    /// In which a configuration has to be in force.
    static constexpr Milliseconds applyTime {2000};

    static AccountKey keyOf(const std::string &account) { return AccountKey(account + "-key"); }
    static ClientAccount account(const std::string &name, std::int64_t weight)
    {
        ClientAccount account;
        account.id = AccountId(name);
        account.keys = {keyOf(name)};
        account.weight = AccountWeight(weight);
        return account;
    }

    void publish()
    {
        CellConfiguration &configuration = simulation_->configuration;
        configuration.version = configuration.version.next();
        simulation_->publishConfiguration();
        simulation_->advance(Milliseconds(300));
    }
    void withdrawKeys()
    {
        simulation_->configuration.accounts.front().keys.clear();
        publish();
    }
    void setCap(std::int64_t tasks)
    {
        simulation_->configuration.accounts.front().cap.processors = Millicores(1000 * tasks);
        publish();
    }
    void plan(Milliseconds duration)
    {
        simulation_->plan = [=](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {duration, CompletionReason::Succeeded};
        };
    }
    void turnAway(std::size_t instance)
    {
        const InstanceId id("entry-" + std::to_string(instance));
        simulation_->storeDelivery = [id](const InstanceId &caller, const StoreRequest &) {
            return caller == id ? CellSimulation::Delivery::Refused
                                : CellSimulation::Delivery::Delivered;
        };
    }
    std::size_t otherThanHolder() const { return (*simulation_->holder() + 1) % instances; }
    CallerOutcome submitNew(std::size_t instance = 0)
    {
        return simulation_->submitAndWait(instance,
                                          CellSimulation::job(fmt::format("new-{}", ++submitted_)));
    }
    CallerOutcome cancel(const std::string &job)
    {
        const CallerRequestId request = simulation_->cancel(0, JobId(job));
        simulation_->advanceUntil([&] { return simulation_->answerOf(request).has_value(); },
                                  Milliseconds(5000));
        return simulation_->answerOf(request)->outcome;
    }

    /// The most runs at one time, counted at starts after \a since.
    std::int64_t mostAtOnce(TimePoint since = {}) const
    {
        std::int64_t most = 0;
        for (const CellSimulation::ObservedRun &start : simulation_->starts()) {
            if (start.startedAt < since)
                continue;
            std::int64_t running = 0;
            for (const CellSimulation::ObservedRun &other : simulation_->starts()) {
                const bool hasEnded = other.completedAt && *other.completedAt <= start.startedAt;
                running += other.startedAt <= start.startedAt && !hasEnded ? 1 : 0;
            }
            most = std::max(most, running);
        }
        return most;
    }

    /// The jobs of the small account that complete within 10 s, beside those of the large one.
    std::size_t completedOfSmall(std::int64_t largeJobsPerSecond)
    {
        constexpr std::int64_t durationMs = 10'000;
        constexpr std::int64_t millisecondsPerSecond = 1000;
        std::int64_t large = 0;
        std::int64_t small = 0;
        for (std::int64_t ms = 0; ms < durationMs; ++ms) {
            if (large * millisecondsPerSecond < largeJobsPerSecond * ms) {
                simulation_->key = keyOf("large");
                simulation_->submit(otherThanHolder(),
                                    CellSimulation::job(fmt::format("large-{}", large++)));
            }
            if (small * millisecondsPerSecond < normalJobsPerSecond / 2 * ms) {
                simulation_->key = keyOf("small");
                simulation_->submit(otherThanHolder(),
                                    CellSimulation::job(fmt::format("small-{}", small++)));
            }
            simulation_->advance(Milliseconds(1));
        }
        std::size_t completed = 0;
        for (const CellSimulation::ObservedRun &run : simulation_->starts()) {
            const bool isSmall = run.task.job.value().starts_with("small");
            completed += isSmall && run.completedAt ? 1 : 0;
        }
        return completed;
    }

    int submitted_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAccountsTest);

} // namespace caraway::tests
