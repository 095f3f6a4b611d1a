#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// The state of a job at an instance that did not receive all changes of it.
class JobStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobStateTest);
    CPPUNIT_TEST(job_completedWhileAnInstanceWasPaused_isShownAsCompletedThere);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_completedWhileAnInstanceWasPaused_isShownAsCompletedThere()
    {
        CellSimulation simulation(3, 4);
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return simulation.holder().has_value(); },
                                               Milliseconds(5000)));
        simulation.advance(Milliseconds(1000));
        const std::size_t paused = *simulation.holder();
        simulation.plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(2000), CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(simulation.submitAndWait(paused, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation.advance(Milliseconds(300));
        CPPUNIT_ASSERT(simulation.stateOf(paused, JobId("a")) == JobState::Running);
        simulation.pause(paused);
        simulation.advance(Milliseconds(6000));
        CPPUNIT_ASSERT(simulation.stateOf(*simulation.holder(), JobId("a")) == JobState::Completed);
        simulation.resume(paused);
        simulation.advance(Milliseconds(3000));
        CPPUNIT_ASSERT(simulation.stateOf(paused, JobId("a")) == JobState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStateTest);

} // namespace caraway::tests
