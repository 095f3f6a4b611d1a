#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// A worker that answers that it is unhealthy and has not carried out the call.
class UnhealthyWorkerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnhealthyWorkerTest);
    CPPUNIT_TEST(worker_unhealthyForLong_itsTasksRunElsewhereAfterTheirLease);
    CPPUNIT_TEST_SUITE_END();

public:
    void worker_unhealthyForLong_itsTasksRunElsewhereAfterTheirLease()
    {
        CellSimulation simulation(3, 4);
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return simulation.holder().has_value(); },
                                               Milliseconds(5000)));
        simulation.advance(Milliseconds(1000));
        simulation.plan = [](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {Milliseconds(20'000), CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(simulation.submitAndWait(0, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        simulation.advance(Milliseconds(300));
        const WorkerId unhealthy = simulation.starts().front().worker;
        simulation.workerDelivery = [unhealthy](const InstanceId &, const WorkerRequest &request) {
            return request.worker == unhealthy ? CellSimulation::Delivery::Refused
                                               : CellSimulation::Delivery::Delivered;
        };
        CPPUNIT_ASSERT(simulation.advanceUntil([&] { return simulation.starts().size() == 2; },
                                               leaseAndHeartbeat));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation.overlaps());
    }

private:
    /// The heartbeat in flight, the lease that the next one requests, and the drift of its clock.
    static constexpr Milliseconds leaseAndHeartbeat {1500 + 6000 + 500};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnhealthyWorkerTest);

} // namespace caraway::tests
