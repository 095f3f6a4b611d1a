#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Steps that are due at a time of day, and a holder whose time of day steps.
class TimeOfDayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimeOfDayTest);
    CPPUNIT_TEST(step_thatWaitsWhileTheTimeOfDayIsCorrected_startsAtItsTime);
    CPPUNIT_TEST(step_readInAForwardStepByAnInstanceThatTakesOver_startsAtItsTime);
    CPPUNIT_TEST(step_startedBeforeTheTimeOfDayIsSetBack_completes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        holder_ = *simulation_->holder();
    }

    /// Guards against a start long before its time, by a time of day that was corrected since.
    void step_thatWaitsWhileTheTimeOfDayIsCorrected_startsAtItsTime()
    {
        const WallTime due = submitDueIn(Milliseconds(20'000));
        setCapacity(Millicores(0));
        simulation_->timeOfDayLeads[holder_] = Milliseconds(60'000);
        simulation_->advance(Milliseconds(1000));
        simulation_->timeOfDayLeads[holder_] = Milliseconds(0);
        simulation_->advance(Milliseconds(200));
        setCapacity(Millicores(8000));
        assertStartsAt(due);
    }

    void step_readInAForwardStepByAnInstanceThatTakesOver_startsAtItsTime()
    {
        const WallTime due = submitDueIn(Milliseconds(30'000));
        setCapacity(Millicores(0));
        for (std::size_t i = 0; i < instances; ++i)
            simulation_->timeOfDayLeads[i] = Milliseconds(i == holder_ ? 0 : 60'000);
        simulation_->kill(holder_);
        simulation_->advance(Milliseconds(500));
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        simulation_->timeOfDayLeads.clear();
        simulation_->advance(Milliseconds(200));
        setCapacity(Millicores(8000));
        assertStartsAt(due);
    }

    void step_startedBeforeTheTimeOfDayIsSetBack_completes()
    {
        submitDueIn(Milliseconds(1000));
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 1; }, longWait));
        simulation_->timeOfDayLeads[holder_] = Milliseconds(-60'000);
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->stateOf(holder_, JobId("a")) == JobState::Completed; },
                longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("a")));
    }

private:
    static constexpr std::size_t instances = 3;
    static constexpr Milliseconds longWait {60'000};
    /// A start may be earlier or later than its time by this much.
    static constexpr Milliseconds tolerance {250};

    WallTime submitDueIn(Milliseconds delay)
    {
        JobSpec job = CellSimulation::job("a");
        const WallTime due((simulation_->now().sinceStart() + delay).count());
        job.schedule = {1, due, Milliseconds(1000)};
        CPPUNIT_ASSERT(simulation_->submitAndWait(holder_, job) == CallerOutcome::Accepted);
        return due;
    }
    void setCapacity(Millicores processors)
    {
        for (std::size_t i = 0; i < 2; ++i) {
            Resources capacity = simulation_->worker(i).entry.capacity;
            capacity.processors = processors;
            simulation_->changeCapacity(i, capacity);
        }
        simulation_->advance(Milliseconds(500));
    }
    void assertStartsAt(WallTime due)
    {
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->startsOf(JobId("a")) == 1; }, longWait));
        const std::int64_t startedAt = simulation_->starts().front().startedAt.sinceStart().count();
        CPPUNIT_ASSERT_GREATEREQUAL(due.count() - tolerance.count(), startedAt);
        CPPUNIT_ASSERT_LESSEQUAL(due.count() + tolerance.count(), startedAt);
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::size_t holder_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeOfDayTest);

} // namespace caraway::tests
