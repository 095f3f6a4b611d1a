#include "Cell/Policy/PassPacing.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

class PassPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PassPacingTest);
    CPPUNIT_TEST(nextPass_afterACheapPass_isAtTheMinimumInterval);
    CPPUNIT_TEST(nextPass_afterACostlyPass_leavesTwoThirdsOfTheProcessor);
    CPPUNIT_TEST(nextPass_withHalfAProcessor_isTwiceAsLate);
    CPPUNIT_TEST(nextPass_withManyProcessors_isNoEarlierThanWithOne);
    CPPUNIT_TEST(nextPass_afterAPassOfSeconds_isWithinASecond);
    CPPUNIT_TEST(nextPass_afterAPassThatWaitedForTheProcessor_isAsLateAsIfItHadUsedIt);
    CPPUNIT_TEST(nextPass_withTheBaseline_ignoresTheCost);
    CPPUNIT_TEST_SUITE_END();

public:
    void nextPass_afterACheapPass_isAtTheMinimumInterval()
    {
        CPPUNIT_ASSERT(at(15) == nextAfter<ProcessorSharePacing>(1000, 1, Microseconds(200)));
    }

    void nextPass_afterACostlyPass_leavesTwoThirdsOfTheProcessor()
    {
        CPPUNIT_ASSERT(at(30) == nextAfter<ProcessorSharePacing>(1000, 10, Microseconds(10'000)));
    }

    void nextPass_withHalfAProcessor_isTwiceAsLate()
    {
        CPPUNIT_ASSERT(at(60) == nextAfter<ProcessorSharePacing>(500, 20, Microseconds(10'000)));
    }

    void nextPass_withManyProcessors_isNoEarlierThanWithOne()
    {
        CPPUNIT_ASSERT(at(30) == nextAfter<ProcessorSharePacing>(4000, 10, Microseconds(10'000)));
    }

    void nextPass_afterAPassOfSeconds_isWithinASecond()
    {
        const Microseconds time(2'000'000);
        CPPUNIT_ASSERT(at(5000) == nextAfter<ProcessorSharePacing>(500, 4000, time));
    }

    /// Guards against a holder that only runs passes while other processes use its processor.
    void nextPass_afterAPassThatWaitedForTheProcessor_isAsLateAsIfItHadUsedIt()
    {
        const PassDuration duration {Microseconds(2000), Microseconds(10'000)};
        CPPUNIT_ASSERT(at(30) == nextAfter<ProcessorSharePacing>(1000, 10, duration));
    }

    void nextPass_withTheBaseline_ignoresTheCost()
    {
        CPPUNIT_ASSERT(at(15) == nextAfter<FixedPacing>(500, 20, Microseconds(10'000)));
    }

private:
    static TimePoint at(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

    /// The earliest next pass after one that begins at 0 and ends at \a endMs.
    template<PassPacing Pacing>
    static TimePoint nextAfter(std::int64_t millicores, std::int64_t endMs, Microseconds time)
    {
        return nextAfter<Pacing>(millicores, endMs, PassDuration {time, time});
    }
    template<PassPacing Pacing>
    static TimePoint nextAfter(std::int64_t millicores, std::int64_t endMs,
                               const PassDuration &duration)
    {
        Pacing pacing {Millicores(millicores)};
        pacing.recordStart(at(0));
        pacing.recordTime(at(endMs), duration);
        return pacing.nextPass();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassPacingTest);

} // namespace caraway::tests
