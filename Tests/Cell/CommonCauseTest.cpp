#include "Cell/CommonCause.h"
#include "Cell/CrashHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Which crashes of workers have a common cause with outages of other workers.
class CommonCauseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommonCauseTest);
    CPPUNIT_TEST(crash_withHalfOfTheOthersDown_isShared);
    CPPUNIT_TEST(crash_withARackOfALargeFleetDown_isShared);
    CPPUNIT_TEST(crash_withAFewOthersDown_isNotShared);
    CPPUNIT_TEST(crash_withOthersThatSuspectsExplain_isNotShared);
    CPPUNIT_TEST(crash_withoutSurvivor_isSharedBesideSuspects);
    CPPUNIT_TEST(crash_withMostOthersDownBefore_isNotShared);
    CPPUNIT_TEST(outages_overlapping_coincide);
    CPPUNIT_TEST(task_withSharedCrashesOnly_isNotGivenUpNorIsolated);
    CPPUNIT_TEST(task_withSharedAndOwnCrashes_isGivenUpWithinTheBudget);
    CPPUNIT_TEST(task_withASharedAndAnOwnCrash_isIsolated);
    CPPUNIT_TEST(task_withOneSharedCrash_explainsNoOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void crash_withHalfOfTheOthersDown_isShared()
    {
        CPPUNIT_ASSERT(CommonCause::explains({.down = 3, .stayedUp = 4}));
    }

    void crash_withARackOfALargeFleetDown_isShared()
    {
        CPPUNIT_ASSERT(CommonCause::explains({.down = 39, .stayedUp = 1060}));
    }

    void crash_withAFewOthersDown_isNotShared()
    {
        CPPUNIT_ASSERT(!CommonCause::explains({.down = 2, .stayedUp = 1}));
        CPPUNIT_ASSERT(!CommonCause::explains({.down = 9, .stayedUp = 1090}));
        CPPUNIT_ASSERT(!CommonCause::explains({}));
    }

    void crash_withOthersThatSuspectsExplain_isNotShared()
    {
        CPPUNIT_ASSERT(!CommonCause::explains({.down = 4, .explained = 2, .stayedUp = 3}));
        CPPUNIT_ASSERT(!CommonCause::explains({.down = 40, .explained = 38, .stayedUp = 1000}));
    }

    void crash_withoutSurvivor_isSharedBesideSuspects()
    {
        CPPUNIT_ASSERT(CommonCause::explains({.down = 7, .explained = 7}));
    }

    void crash_withMostOthersDownBefore_isNotShared()
    {
        CPPUNIT_ASSERT(!CommonCause::explains({.down = 3, .explained = 3, .unknown = 4}));
    }

    void outages_overlapping_coincide()
    {
        const auto outage = [](std::int64_t from, std::int64_t until) {
            return WorkerOutage {WorkerIncarnation(1),
                                 TimePoint(Milliseconds(from)),
                                 TimePoint(Milliseconds(until)),
                                 {}};
        };
        CPPUNIT_ASSERT(outage(1000, 3000).coincidesWith(outage(2500, 2600)));
        CPPUNIT_ASSERT(outage(2500, 2600).coincidesWith(outage(1000, 3000)));
        CPPUNIT_ASSERT(!outage(1000, 3000).coincidesWith(outage(5000, 6000)));
        CPPUNIT_ASSERT(!outage(5000, 6000).coincidesWith(outage(1000, 3000)));
    }

    void task_withSharedCrashesOnly_isNotGivenUpNorIsolated()
    {
        CrashHistory crashes;
        for (std::uint64_t i = 0; i < 20; ++i)
            crashes.add(crash(i), true);
        CPPUNIT_ASSERT(!crashes.shouldGiveUp());
        CPPUNIT_ASSERT(!crashes.needsIsolation());
        CPPUNIT_ASSERT(!crashes.isSuspect());
    }

    /// Two of a task's crashes may coincide with those of other tasks.
    void task_withSharedAndOwnCrashes_isGivenUpWithinTheBudget()
    {
        CrashHistory crashes;
        for (std::uint64_t i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!crashes.shouldGiveUp());
            crashes.add(crash(i), i < 2);
        }
        CPPUNIT_ASSERT(crashes.shouldGiveUp());
    }

    void task_withASharedAndAnOwnCrash_isIsolated()
    {
        CrashHistory crashes;
        crashes.add(crash(0), true);
        crashes.add(crash(1));
        CPPUNIT_ASSERT(crashes.needsIsolation());
    }

    void task_withOneSharedCrash_explainsNoOutage()
    {
        CrashHistory crashes;
        crashes.add(crash(0), true);
        CPPUNIT_ASSERT(!crashes.mayExplain(crash(1)));
        crashes.add(crash(1));
        // The crash in question is no evidence of itself.
        CPPUNIT_ASSERT(!crashes.mayExplain(crash(1)));
        CPPUNIT_ASSERT(crashes.mayExplain(crash(2)));
    }

private:
    static WorkerCrash crash(std::uint64_t number)
    {
        return {WorkerId("worker"), WorkerIncarnation(number)};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommonCauseTest);

} // namespace caraway::tests
