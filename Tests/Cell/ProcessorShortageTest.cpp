#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace caraway::tests {

using namespace cell;

class ProcessorShortageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProcessorShortageTest);
    CPPUNIT_TEST(steps_afterABurst_startInTime);
    CPPUNIT_TEST(steps_afterABurstOnASlowerProcessor_startInTime);
    CPPUNIT_TEST(steps_afterABurstOnAProcessorOfAThirdOfTheSpeed_startInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void steps_afterABurst_startInTime() { checkBurst(2); }
    void steps_afterABurstOnASlowerProcessor_startInTime() { checkBurst(3); }
    void steps_afterABurstOnAProcessorOfAThirdOfTheSpeed_startInTime() { checkBurst(6); }

private:
    static constexpr std::size_t workers = 100;
    static constexpr std::int64_t steadyJobsPerSecond = 100;
    static constexpr std::int64_t burstJobsPerSecond = 1000;
    static constexpr Milliseconds burst {5000};
    /// The target of the design for work that can run after a burst.
    static constexpr Milliseconds recovery {10'000};

    static CellSimulation::ProcessorPrices prices(std::int64_t halves)
    {
        const CellSimulation::ProcessorPrices usual {Microseconds(10), Microseconds(40),
                                                     Microseconds(5), Microseconds(500)};
        return {usual.event * halves / 2, usual.call * halves / 2, usual.candidate * halves / 2,
                usual.thousandWorkerChecks * halves / 2};
    }

    /// \a halves is the price of the processor, in halves of the usual one.
    static void checkBurst(std::int64_t halves)
    {
        CellSimulation simulation(2, workers);
        simulation.processors = {{0, Millicores(500)}, {1, Millicores(500)}};
        for (std::size_t i = 0; i < workers; ++i)
            simulation.worker(i).entry.capacity.memory = Bytes(8 * taskMemory);
        simulation.publishWorkers();
        simulation.restart(0);
        simulation.restart(1);
        simulation.advance(Milliseconds(3000));
        simulation.prices = prices(halves);
        std::vector<JobId> jobs;
        submitFor(simulation, jobs, Milliseconds(2000), steadyJobsPerSecond);
        submitFor(simulation, jobs, burst, burstJobsPerSecond);
        const std::size_t jobsUntilBurstEnd = jobs.size();
        submitFor(simulation, jobs, recovery, steadyJobsPerSecond);
        std::set<JobId> started;
        for (const CellSimulation::ObservedRun &run : simulation.starts())
            started.insert(run.task.job);
        std::size_t waiting = 0;
        for (std::size_t i = 0; i < jobsUntilBurstEnd; ++i)
            waiting += started.contains(jobs[i]) ? 0 : 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), waiting);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countOf(simulation.log, "event=worker_unreachable"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation.overlaps());
    }

    /// Submits jobs of two tasks each that need much memory and few processors.
    static void submitFor(CellSimulation &simulation, std::vector<JobId> &jobs,
                          Milliseconds duration, std::int64_t jobsPerSecond)
    {
        constexpr std::int64_t millisecondsPerSecond = 1000;
        std::int64_t due = 0;
        for (std::int64_t ms = 0; ms < duration.count(); ++ms) {
            for (due += jobsPerSecond; due >= millisecondsPerSecond; due -= millisecondsPerSecond) {
                JobSpec job = CellSimulation::job(fmt::format("job-{}", jobs.size()), 2);
                job.steps.front().need.processors = Millicores(100);
                job.steps.front().need.memory = Bytes(taskMemory);
                simulation.submit(jobs.size() % 2, job);
                jobs.push_back(job.id);
            }
            simulation.advance(Milliseconds(1));
        }
    }

    static std::size_t countOf(const std::string &text, const std::string &part)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

    static constexpr std::int64_t taskMemory = 1 << 27;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessorShortageTest);

} // namespace caraway::tests
