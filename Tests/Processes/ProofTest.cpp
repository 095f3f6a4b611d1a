#include "Support/FaultPlan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace caraway::tests {

namespace {

constexpr int endLimitMs = 20'000;
constexpr int settleMs = 2000;

void sleepFor(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

FleetShape shapeWithShortLeases()
{
    FleetShape shape;
    shape.timing = "task_lease_ms = 2500\nworker_heartbeat_ms = 500\nworker_timeout_ms = 800\n";
    return shape;
}

} // namespace

/// The eight safety points, each under the faults that threaten it most. docs/PROOFS.md lists
/// them; every test ends with the whole audit, not only with its own point.
class ProofTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProofTest);
    CPPUNIT_TEST(load_noFault_holdsEveryPoint);
    CPPUNIT_TEST(load_holderPausedPastItsLease_holdsEveryPoint);
    CPPUNIT_TEST(load_storeDownAndHolderKilled_holdsEveryPoint);
    CPPUNIT_TEST(load_workerAnswersLostAndSilent_holdsEveryPoint);
    CPPUNIT_TEST(load_reportsDisordered_everyCallerGetsItsOwnAnswer);
    CPPUNIT_TEST(load_peersCutOneWay_holdsEveryPoint);
    CPPUNIT_TEST(nonIdempotent_workerAndHolderKilled_startsOnce);
    CPPUNIT_TEST(load_workerFailsEverything_holdsEveryPoint);
    CPPUNIT_TEST(leavingWorker_load_getsNoStartAfterTwoSeconds);
    CPPUNIT_TEST(plannedStop_requestsInFlight_areAllAnswered);
    CPPUNIT_TEST(preset_operatorsRaceAndEntryCutOff_isInForceEverywhere);
    CPPUNIT_TEST(preset_storeAnswerLostAndEntryRestarted_neverGoesBack);
    CPPUNIT_TEST_SUITE_END();

    TestFleet fleet_ {shapeWithShortLeases()};
    CallerLog callers_ {fleet_};
    std::unique_ptr<FleetAudit> audit_;
    std::unique_ptr<FaultPlan> faults_;
    std::vector<std::jthread> threads_;

public:
    void setUp() override
    {
        fleet_.start();
        audit_ = std::make_unique<FleetAudit>(fleet_, callers_);
        faults_ = std::make_unique<FaultPlan>(fleet_, *audit_);
    }

    void tearDown() override
    {
        threads_.clear();
        audit_.reset();
    }

private:
    /// Callers on every entry, with idempotent jobs and others, singles and gangs.
    void startLoad(int durationMs)
    {
        constexpr int callersPerEntry = 3;
        const std::int64_t end = wallMs() + durationMs;
        threads_.reserve(static_cast<std::size_t>(fleet_.shape().entries) * callersPerEntry);
        for (int caller = 0; caller < fleet_.shape().entries * callersPerEntry; ++caller) {
            threads_.emplace_back([this, caller, end] {
                for (int i = 0; wallMs() < end; ++i) {
                    PlannedJob job;
                    job.name = "p" + std::to_string(caller) + "-" + std::to_string(i);
                    job.idempotent = i % 2 == 0;
                    job.tasks = i % 3 == 0 ? 4 : 1;
                    job.gang = i % 6 == 0;
                    job.runMs = i % 4 == 0 ? 700 : 50;
                    callers_.runToTheEnd(caller % fleet_.shape().entries, job, endLimitMs);
                }
            });
        }
    }

    void finishLoad()
    {
        threads_.clear();
        sleepFor(settleMs);
        CPPUNIT_ASSERT(callers_.jobCount() > 0);
        const std::string report = audit_->report();
        CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    }

    /// Sets the faults one after another, holds them, and heals them in order.
    void suffer(const std::vector<Fault> &faults, int durationMs)
    {
        sleepFor(500);
        for (const Fault &fault : faults)
            fault.set();
        sleepFor(durationMs);
        for (const Fault &fault : faults)
            fault.heal();
    }

    int holder() { return std::max(0, fleet_.holderOf(fleet_.shape().zones[0])); }

    bool isInForceEverywhere(std::int64_t revision) const
    {
        for (int entry = 0; entry < fleet_.shape().entries; ++entry) {
            if (audit_->revisionShownBy(entry) < revision)
                return false;
        }
        return true;
    }

    HttpAnswer change(int entry, const std::string &preset, const std::string &id) const
    {
        return fleet_.post(entry, "/v1/preset-in-force",
                           {{"preset", TestFleet::makePreset(preset)},
                            {"change", {{"id", id}, {"who", "test"}}}});
    }

    void load_noFault_holdsEveryPoint()
    {
        startLoad(3000);
        finishLoad();
    }

    void load_holderPausedPastItsLease_holdsEveryPoint()
    {
        startLoad(5000);
        suffer({faults_->entryPaused(holder())}, 4000);
        finishLoad();
    }

    void load_storeDownAndHolderKilled_holdsEveryPoint()
    {
        startLoad(4000);
        suffer({faults_->storeDown(), faults_->entryKilled(holder())}, 3000);
        finishLoad();
    }

    void load_workerAnswersLostAndSilent_holdsEveryPoint()
    {
        startLoad(4000);
        suffer({faults_->workerAnswersLost(0), faults_->workerSilent(2)}, 2500);
        finishLoad();
    }

    void load_reportsDisordered_everyCallerGetsItsOwnAnswer()
    {
        startLoad(4000);
        suffer({faults_->reportsDisordered(0), faults_->reportsDisordered(3)}, 3000);
        finishLoad();
    }

    void load_peersCutOneWay_holdsEveryPoint()
    {
        startLoad(5000);
        suffer({faults_->peerOneWay(0, 1), faults_->peerCut(1, 2)}, 3000);
        finishLoad();
    }

    void nonIdempotent_workerAndHolderKilled_startsOnce()
    {
        PlannedJob job;
        job.name = "label";
        job.idempotent = false;
        job.runMs = 5000;
        const int held = fleet_.holderOf(fleet_.homeOf(job.name));
        const int other = (held + 1) % fleet_.shape().entries;
        callers_.submit(other, job, 0);
        CPPUNIT_ASSERT(TestFleet::eventually([&] { return fleet_.startsOf(job.name) == 1; }));
        const std::string worker = fleet_.records().back()["worker"];
        int index = 0;
        while (fleet_.workerName(index) != worker)
            ++index;
        const Fault workerDeath = faults_->workerKilled(index);
        workerDeath.set();
        fleet_.entry(held).kill();
        // An entry that never saw the name is asked.
        callers_.runToTheEnd((held + 2) % fleet_.shape().entries, job, endLimitMs);
        const std::string report = audit_->report();
        CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    }

    void load_workerFailsEverything_holdsEveryPoint()
    {
        startLoad(4000);
        suffer({faults_->workerFailsEverything(1)}, 3000);
        finishLoad();
    }

    void leavingWorker_load_getsNoStartAfterTwoSeconds()
    {
        startLoad(5000);
        suffer({faults_->workerLeaving(0), faults_->entryKilled(holder())}, 4500);
        finishLoad();
    }

    void plannedStop_requestsInFlight_areAllAnswered()
    {
        const int stopping = holder();
        for (int i = 0; i < 12; ++i) {
            threads_.emplace_back([this, i, stopping] {
                PlannedJob job;
                job.name = "inflight-" + std::to_string(i);
                job.runMs = 1500;
                callers_.submit(stopping, job, 8000);
            });
        }
        CPPUNIT_ASSERT(TestFleet::eventually([&] { return fleet_.startsOf("inflight-0") == 1; }));
        sleepFor(300);
        fleet_.entry(stopping).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet_.entry(stopping).waitForExit(endLimitMs));
        threads_.clear();
        for (const ToldCaller &told : callers_.told())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(told.job.name + told.answer.body.dump(),
                                         std::string("done"), told.state);
        const std::string report = audit_->report();
        CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    }

    void preset_operatorsRaceAndEntryCutOff_isInForceEverywhere()
    {
        const Fault cut = faults_->storeCutFor(2);
        cut.set();
        std::vector<HttpAnswer> answers(2);
        threads_.emplace_back([&] { answers[0] = change(0, "peak", "race-0"); });
        threads_.emplace_back([&] { answers[1] = change(1, "repair", "race-1"); });
        threads_.clear();
        std::int64_t accepted = 0;
        for (const HttpAnswer &answer : answers) {
            if (answer.status == 200)
                accepted = std::max(accepted, answer.body["revision"].get<std::int64_t>());
        }
        CPPUNIT_ASSERT(accepted > 0);
        CPPUNIT_ASSERT(TestFleet::eventually([&] { return isInForceEverywhere(accepted); }, 5000));
        cut.heal();
        const std::string report = audit_->report();
        CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    }

    void preset_storeAnswerLostAndEntryRestarted_neverGoesBack()
    {
        fleet_.controlStore({{"lose_config_answers", 1}});
        change(0, "peak", "lost-0");
        fleet_.entry(1).kill();
        fleet_.startEntry(1);
        std::int64_t written = 0;
        const nlohmann::json history = fleet_.storeHistory();
        for (const nlohmann::json &write : history) {
            if (write["key"] == "config/preset-in-force")
                written = write["revision"].get<std::int64_t>();
        }
        CPPUNIT_ASSERT(TestFleet::eventually([&] { return isInForceEverywhere(written); }, 5000));
        const std::string report = audit_->report();
        CPPUNIT_ASSERT_MESSAGE(report, report.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProofTest);

} // namespace caraway::tests
