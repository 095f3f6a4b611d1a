#include "Cell/CompletionNumbers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

class CompletionNumbersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompletionNumbersTest);
    CPPUNIT_TEST(numbers_listedInAnyOrder_areAcknowledgedWhenTheGapHasClosed);
    CPPUNIT_TEST(number_thatIsNotRecorded_isNotAcknowledged);
    CPPUNIT_TEST(gap_thatStays_isAcknowledgedAfterTheLimit);
    CPPUNIT_TEST(number_listedAgain_isNotNew);
    CPPUNIT_TEST_SUITE_END();

public:
    void numbers_listedInAnyOrder_areAcknowledgedWhenTheGapHasClosed()
    {
        addRecorded(3);
        addRecorded(1);
        assertAcknowledgeable(1);
        CPPUNIT_ASSERT(numbers_.mustKeepSome(now_));
        addRecorded(2);
        assertAcknowledgeable(3);
        CPPUNIT_ASSERT(!numbers_.mustKeepSome(now_));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), numbers_.missingThrough(CompletionNumber(3)));
    }

    void number_thatIsNotRecorded_isNotAcknowledged()
    {
        addRecorded(1);
        numbers_.add(CompletionNumber(2), now_);
        addRecorded(3);
        now_ = now_ + lateListingLimit;
        assertAcknowledgeable(1);
        CPPUNIT_ASSERT(!numbers_.areAllRecorded());
        numbers_.setRecorded(CompletionNumber(2));
        assertAcknowledgeable(3);
        CPPUNIT_ASSERT(numbers_.areAllRecorded());
    }

    void gap_thatStays_isAcknowledgedAfterTheLimit()
    {
        addRecorded(1);
        addRecorded(4);
        now_ = now_ + lateListingLimit - Milliseconds(1);
        assertAcknowledgeable(1);
        now_ = now_ + Milliseconds(1);
        assertAcknowledgeable(4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), numbers_.missingThrough(CompletionNumber(4)));
    }

    void number_listedAgain_isNotNew()
    {
        addRecorded(1);
        CPPUNIT_ASSERT(!numbers_.add(CompletionNumber(1), now_));
        numbers_.setDiscarded(CompletionNumber(1));
        CPPUNIT_ASSERT(!numbers_.add(CompletionNumber(1), now_));
        CPPUNIT_ASSERT(numbers_.add(CompletionNumber(2), now_));
    }

private:
    void addRecorded(std::uint64_t number)
    {
        CPPUNIT_ASSERT(numbers_.add(CompletionNumber(number), now_));
        numbers_.setRecorded(CompletionNumber(number));
    }
    void assertAcknowledgeable(std::uint64_t number) const
    {
        CPPUNIT_ASSERT_EQUAL(number, numbers_.acknowledgeable(now_).value());
    }

    CompletionNumbers numbers_;
    TimePoint now_ {Milliseconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionNumbersTest);

} // namespace caraway::tests
