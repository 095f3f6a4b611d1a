#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Commits that the store refuses now and later.
class InvalidCommitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InvalidCommitTest);
    CPPUNIT_TEST(commit_ofAJobThatTheStoreRefuses_doesNotDelayOthers);
    CPPUNIT_TEST(commits_ofTwoJobsThatTheStoreRefuses_areNotRepeatedAtOnce);
    CPPUNIT_TEST(commit_acceptedAgain_recordsTheJob);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 4);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        simulation_->storeDelivery = [this](const InstanceId &, const StoreRequest &request) {
            const auto *commit = std::get_if<StoreCommit>(&request);
            const bool isInvalid = commit
                    && std::any_of(commit->writes.begin(), commit->writes.end(),
                                   [&](const StoreWrite &write) {
                                       return (write.key.type == RecordType::Results
                                               || write.key.type == RecordType::Progress)
                                               && refused_.contains(write.key.name);
                                   });
            invalidCommits_ += isInvalid ? 1 : 0;
            return isInvalid ? CellSimulation::Delivery::Invalid
                             : CellSimulation::Delivery::Delivered;
        };
    }

    void commit_ofAJobThatTheStoreRefuses_doesNotDelayOthers()
    {
        refused_ = {"job-0"};
        runJobs(20);
        simulation_->advance(longestIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(19), results());
    }

    void commits_ofTwoJobsThatTheStoreRefuses_areNotRepeatedAtOnce()
    {
        refused_ = {"job-0", "job-1"};
        runJobs(2);
        simulation_->advance(Milliseconds(10'000));
        CPPUNIT_ASSERT_LESS(40, invalidCommits_);
    }

    void commit_acceptedAgain_recordsTheJob()
    {
        refused_ = {"job-0"};
        runJobs(2);
        simulation_->advance(longestIdleTime);
        refused_.clear();
        simulation_->advance(longestIdleTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), results());
    }

private:
    void runJobs(int jobs)
    {
        for (int i = 0; i < jobs; ++i)
            simulation_->submit(0, CellSimulation::job("job-" + std::to_string(i)));
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(jobs), simulation_->starts().size());
    }
    std::size_t results() const { return simulation_->store().count(RecordType::Results); }

    static constexpr Milliseconds longWait {20'000};
    static constexpr Milliseconds longestIdleTime {3000};
    std::set<std::string> refused_;
    int invalidCommits_ = 0;
    std::unique_ptr<CellSimulation> simulation_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvalidCommitTest);

} // namespace caraway::tests
