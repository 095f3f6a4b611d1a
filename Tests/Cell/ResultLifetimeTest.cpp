#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// How long the result of a job is kept when the holder changes and instances differ in their time
/// of day.
class ResultLifetimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResultLifetimeTest);
    CPPUNIT_TEST(result_takenOverByAHolderWhoseTimeOfDayIsAhead_isKept);
    CPPUNIT_TEST(result_ofAHolderWhoseTimeOfDayWasBehind_isKept);
    CPPUNIT_TEST(result_takenOverAfterASmallStepOfTheTimeOfDay_isKept);
    CPPUNIT_TEST(result_afterItsLifetimeInOneTerm_isRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        awaitHolder();
        former_ = *simulation_->holder();
    }

    /// Guards against 410 for a job whose result should still be kept.
    void result_takenOverByAHolderWhoseTimeOfDayIsAhead_isKept()
    {
        completeJob();
        setLeadOfOthers(longStep);
        changeHolder();
        assertKept();
    }

    void result_ofAHolderWhoseTimeOfDayWasBehind_isKept()
    {
        simulation_->timeOfDayLeads[former_] = Milliseconds(-900'000);
        completeJob();
        changeHolder();
        assertKept();
    }

    void result_takenOverAfterASmallStepOfTheTimeOfDay_isKept()
    {
        completeJob();
        setLeadOfOthers(CellSettings().resultLifetime / 3);
        changeHolder();
        assertKept();
    }

    void result_afterItsLifetimeInOneTerm_isRemoved()
    {
        completeJob();
        changeHolder();
        simulation_->advance(CellSettings().resultLifetime + Milliseconds(20'000));
        CPPUNIT_ASSERT(simulation_->store().find({RecordType::Results, "a"}) == nullptr);
    }

private:
    static constexpr Milliseconds longWait {20'000};
    static constexpr Milliseconds longStep {2'400'000};

    void awaitHolder()
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
    }
    void setLeadOfOthers(Milliseconds lead)
    {
        for (std::size_t i = 0; i < 3; ++i) {
            if (i != former_)
                simulation_->timeOfDayLeads[i] = lead;
        }
    }
    void completeJob()
    {
        CPPUNIT_ASSERT(simulation_->submitAndWait(former_, CellSimulation::job("a"))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->stateOf(former_, JobId("a")) == JobState::Completed; },
                longWait));
        completedAt_ = simulation_->now();
    }
    void changeHolder()
    {
        simulation_->kill(former_);
        simulation_->advance(Milliseconds(3000));
        awaitHolder();
        CPPUNIT_ASSERT(*simulation_->holder() != former_);
    }
    /// An instance that knows nothing of before shows the result nearly until its lifetime ends.
    void assertKept()
    {
        simulation_->restart(former_);
        const Milliseconds lifetime = CellSettings().resultLifetime;
        simulation_->advance(completedAt_ + lifetime - Milliseconds(2000) - simulation_->now());
        CPPUNIT_ASSERT(simulation_->stateOf(former_, JobId("a")) == JobState::Completed);
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t former_ = 0;
    TimePoint completedAt_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultLifetimeTest);

} // namespace caraway::tests
