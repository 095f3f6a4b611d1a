#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace caraway::tests {

using namespace cell;

namespace {

constexpr std::size_t instances = 3;
constexpr std::size_t workers = 6;
/// The slowest clock that a worker may have loses one part in this.
constexpr std::int64_t slowestClockDivisor = 50;
constexpr Milliseconds troubleDuration {50'000};
constexpr Milliseconds calmDuration {40'000};
constexpr Milliseconds jobInterval {1500};
constexpr Milliseconds troubleInterval {900};

/// Runs that are longer and shorter than the lease, on workers with slow clocks, and cuts, late
/// calls and pauses of instances at random times from a seed.
class LeaseSchedule
{
public:
    LeaseSchedule(std::uint64_t seed, bool crashesWorkers)
        : crashesWorkers_(crashesWorkers)
        , random_(seed)
        , simulation_(instances, workers)
    {
        simulation_.plan = [this](const TaskKey &, RunNumber) {
            const Milliseconds duration
                    = pick(4) == 0 ? pickTime(6000, 12'000) : pickTime(200, 4000);
            return SimulatedWorker::RunPlan {duration,
                                             pick(6) == 0 ? CompletionReason::Failed
                                                          : CompletionReason::Succeeded};
        };
        simulation_.configuration.queues.front().maxAttempts = manyAttempts;
        simulation_.configuration.version = ConfigurationVersion(2);
        simulation_.publishConfiguration();
        for (std::size_t i = 0; i < workers; i += 2)
            simulation_.worker(i).clockSlownessDivisor = slowestClockDivisor;
        simulation_.workerDelivery = [this](const InstanceId &, const WorkerRequest &request) {
            return deliver(request);
        };
        simulation_.storeDelivery = [this](const InstanceId &, const StoreRequest &request) {
            return acceptsCommits_ || !std::holds_alternative<StoreCommit>(request)
                    ? CellSimulation::Delivery::Delivered
                    : CellSimulation::Delivery::Refused;
        };
        simulation_.workerDelay = [this](const WorkerRequest &request) {
            return delayed_.contains(request.worker) && pick(3) == 0 ? pickTime(100, 6000)
                                                                     : Milliseconds();
        };
        simulation_.workerReplyDelay = [this](const WorkerRequest &request) {
            return delayed_.contains(request.worker) && pick(3) == 0 ? pickTime(50, 900)
                                                                     : Milliseconds();
        };
    }

    /// Returns what went wrong, or nothing.
    std::string play()
    {
        simulation_.advance(Milliseconds(3000));
        const TimePoint end = simulation_.now() + troubleDuration;
        TimePoint nextJob;
        TimePoint nextTrouble;
        while (simulation_.now() < end) {
            if (simulation_.now() >= nextJob) {
                nextJob = simulation_.now() + jobInterval;
                submitJob();
            }
            if (simulation_.now() >= nextTrouble) {
                nextTrouble = simulation_.now() + pickTime(0, 2 * troubleInterval.count());
                startTrouble();
            }
            advance();
        }
        const TimePoint calmEnd = simulation_.now() + calmDuration;
        while (simulation_.now() < calmEnd)
            advance();
        return problems();
    }
    std::size_t lapses() const
    {
        return static_cast<std::size_t>(std::count_if(
                simulation_.starts().begin(), simulation_.starts().end(), [](const auto &run) {
                    return run.completedAt && run.reason == CompletionReason::LeaseExpired;
                }));
    }

private:
    static constexpr std::int64_t manyAttempts = 1000;
    static constexpr Milliseconds stepDuration {25};

    std::int64_t pick(std::int64_t limit)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit));
    }
    Milliseconds pickTime(std::int64_t least, std::int64_t most)
    {
        return Milliseconds(least + pick(most - least + 1));
    }
    void after(Milliseconds delay, std::function<void()> action)
    {
        actions_.emplace(simulation_.now() + delay, std::move(action));
    }
    void advance()
    {
        simulation_.advance(stepDuration);
        while (!actions_.empty() && actions_.begin()->first <= simulation_.now()) {
            const std::function<void()> action = actions_.begin()->second;
            actions_.erase(actions_.begin());
            action();
        }
    }
    void submitJob()
    {
        const std::string id = "job" + std::to_string(jobs_.size());
        JobSpec job = CellSimulation::job(id, 1 + pick(4));
        job.steps.front().gang = pick(5) == 0;
        const auto instance = static_cast<std::size_t>(pick(instances));
        if (simulation_.isRunning(instance))
            jobs_.emplace_back(job.id, simulation_.submit(instance, job));
    }
    CellSimulation::Delivery deliver(const WorkerRequest &request)
    {
        const bool isStart = std::holds_alternative<WorkerStart>(request.command);
        if (refusingHeartbeats_.contains(request.worker)) {
            const bool isAnswerLost = isStart && pick(2) == 0;
            return isAnswerLost ? CellSimulation::Delivery::AnswerLost
                    : isStart   ? CellSimulation::Delivery::Delivered
                                : CellSimulation::Delivery::Refused;
        }
        const auto found = deliveries_.find(request.worker);
        return found == deliveries_.end() ? CellSimulation::Delivery::Delivered : found->second;
    }
    void disturb(std::size_t worker, CellSimulation::Delivery delivery)
    {
        const WorkerId id = simulation_.worker(worker).entry.id;
        if (deliveries_.contains(id))
            return;
        deliveries_[id] = delivery;
        const bool isRemoved = pick(2) == 0;
        if (isRemoved) {
            after(Milliseconds(3000), [this, id] {
                if (deliveries_.contains(id))
                    simulation_.store().remove({RecordType::Workers, id.value()});
            });
        }
        after(pickTime(300, 13'000), [this, id, worker] {
            deliveries_.erase(id);
            simulation_.publishWorker(worker);
        });
    }
    void startTrouble()
    {
        const auto worker = static_cast<std::size_t>(pick(workers));
        const WorkerId id = simulation_.worker(worker).entry.id;
        switch (pick(crashesWorkers_ ? 8 : 7)) {
        case 0:
            disturb(worker, CellSimulation::Delivery::Lost);
            return;
        case 1:
            disturb(worker, CellSimulation::Delivery::AnswerLost);
            return;
        case 2:
            delayed_.insert(id);
            after(pickTime(1000, 8000), [this, id] { delayed_.erase(id); });
            return;
        case 3:
            disturbInstance();
            return;
        case 4:
            refusingHeartbeats_.insert(id);
            after(pickTime(1000, 13'000), [this, id] { refusingHeartbeats_.erase(id); });
            return;
        case 5:
            acceptsCommits_ = false;
            after(pickTime(200, 3000), [this] { acceptsCommits_ = true; });
            return;
        case 7:
            simulation_.worker(worker).downtime = pickTime(100, 5000);
            simulation_.worker(worker).crash(simulation_.now());
            return;
        default:
            // Of each worker, as behind a partition between zones.
            for (std::size_t i = worker % 2; i < workers; i += 2)
                disturb(i, CellSimulation::Delivery::Lost);
        }
    }
    void disturbInstance()
    {
        const std::optional<std::size_t> holder = simulation_.holder();
        if (!holder || pick(2) == 0)
            return;
        if (pick(4) == 0) {
            simulation_.kill(*holder);
            after(pickTime(500, 4000), [this, index = *holder] { simulation_.restart(index); });
            return;
        }
        simulation_.pause(*holder);
        after(pickTime(200, 7000), [this, index = *holder] { simulation_.resume(index); });
    }
    std::string problems()
    {
        std::string found;
        if (simulation_.overlaps() > 0)
            found += std::to_string(simulation_.overlaps()) + " simultaneous runs ";
        if (simulation_.startsAfterSuccess() > 0)
            found += std::to_string(simulation_.startsAfterSuccess()) + " starts after a success ";
        const std::optional<std::size_t> reader = simulation_.holder();
        if (!reader)
            return found + "no holder";
        for (const auto &[id, request] : jobs_) {
            const std::optional<CallerAnswer> answer = simulation_.answerOf(request);
            if (answer && answer->outcome == CallerOutcome::Accepted
                && simulation_.stateOf(*reader, id) != JobState::Completed)
                found += id.value() + " is not completed ";
        }
        return found;
    }

    bool crashesWorkers_ = false;
    std::mt19937_64 random_;
    CellSimulation simulation_;
    std::multimap<TimePoint, std::function<void()>> actions_;
    std::vector<std::pair<JobId, CallerRequestId>> jobs_;
    std::map<WorkerId, CellSimulation::Delivery> deliveries_;
    std::set<WorkerId> delayed_;
    std::set<WorkerId> refusingHeartbeats_;
    bool acceptsCommits_ = true;
};

} // namespace

/// Leases that the holder judges from afar.
class LeaseScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseScheduleTest);
    CPPUNIT_TEST(tasks_underCutsPausesAndSlowClocks_runOnceAtATime);
    CPPUNIT_TEST(tasks_underCrashesPausesAndSlowClocks_runOnceAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    void tasks_underCutsPausesAndSlowClocks_runOnceAtATime() { play(false); }
    void tasks_underCrashesPausesAndSlowClocks_runOnceAtATime() { play(true); }

private:
    static void play(bool crashesWorkers)
    {
        std::string problems;
        std::size_t lapses = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LeaseSchedule schedule(seed, crashesWorkers);
            const std::string problem = schedule.play();
            lapses += schedule.lapses();
            if (!problem.empty())
                problems += "seed " + std::to_string(seed) + ": " + problem + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), problems);
        CPPUNIT_ASSERT_MESSAGE("few leases expired", lapses >= seeds);
    }

    static constexpr std::uint64_t seeds = 40;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseScheduleTest);

} // namespace caraway::tests
