#include "Cell/CellFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace caraway::tests {

using namespace cell;

/// Which workers the approval requests of many steps name.
class ApprovalRequestTest : public CellFixture
{
    CPPUNIT_TEST_SUITE(ApprovalRequestTest);
    CPPUNIT_TEST(requests_ofABurst_nameDifferentWorkers);
    CPPUNIT_TEST(requests_afterOnesThatWereLost_nameTheWorkersAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        startCell(workers);
        ApprovalSettings approval;
        approval.perRequest = Milliseconds(20);
        approval.ticketValidity = Milliseconds(2500);
        simulation_->configuration.queues.front().approval = approval;
        simulation_->configuration.queues.front().objective = Milliseconds(20'000);
        simulation_->configuration.version = simulation_->configuration.version.next();
        simulation_->publishConfiguration();
        for (std::size_t i = 0; i < workers; ++i)
            simulation_->worker(i).entry.capacity.processors = Millicores(1000);
        simulation_->publishWorkers();
        awaitHolder();
        simulation_->advance(Milliseconds(3000));
        simulation_->approvalDuration = [](const ApprovalRequest &) { return Milliseconds(100); };
    }

    /// Guards against capacity that stays free in a burst, as all steps ask for the same workers.
    void requests_ofABurst_nameDifferentWorkers()
    {
        std::set<JobId> asked;
        std::set<WorkerId> named;
        std::size_t names = 0;
        simulation_->approvalDelivery = [&](const InstanceId &, const ApprovalRequest &request) {
            if (asked.insert(request.step.job).second) {
                names += request.workers.size();
                named.insert(request.workers.begin(), request.workers.end());
            }
            return CellSimulation::Delivery::Delivered;
        };
        submitBurst();
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(jobs, asked.size());
        CPPUNIT_ASSERT_EQUAL(names, named.size());
    }

    /// Guards against workers that count as requested for ever.
    void requests_afterOnesThatWereLost_nameTheWorkersAgain()
    {
        simulation_->approvalDelivery = [](const InstanceId &, const ApprovalRequest &) {
            return CellSimulation::Delivery::Lost;
        };
        submitBurst();
        simulation_->advance(Milliseconds(3000));
        simulation_->approvalDelivery = nullptr;
        simulation_->advance(Milliseconds(8000));
        for (std::size_t i = 0; i < jobs; ++i)
            CPPUNIT_ASSERT(isCompleted(jobId(i)));
    }

private:
    static constexpr std::size_t workers = 40;
    /// Each asks for three workers at least.
    static constexpr std::size_t jobs = 12;

    static JobId jobId(std::size_t number) { return JobId(fmt::format("job-{}", number)); }
    void submitBurst()
    {
        for (std::size_t i = 0; i < jobs; ++i)
            simulation_->submit(0, CellSimulation::job(jobId(i).value()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApprovalRequestTest);

} // namespace caraway::tests
