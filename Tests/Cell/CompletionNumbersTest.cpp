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
    CPPUNIT_TEST(number_listedAfterAHigherOneWasDiscarded_isNew);
    CPPUNIT_TEST_SUITE_END();

public:
    void numbers_listedInAnyOrder_areAcknowledgedWhenTheGapHasClosed()
    {
        addRecorded(3);
        addRecorded(1);
        assertAcknowledgeable(1);
        CPPUNIT_ASSERT(numbers_.mustKeepSome());
        addRecorded(2);
        assertAcknowledgeable(3);
        CPPUNIT_ASSERT(!numbers_.mustKeepSome());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), numbers_.missingThrough(CompletionNumber(3)));
    }

    void number_thatIsNotRecorded_isNotAcknowledged()
    {
        addRecorded(1);
        numbers_.add(CompletionNumber(2), now_);
        addRecorded(3);
        numbers_.setRead(now_ + lateListingLimit);
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
        numbers_.setRead(now_ + lateListingLimit - Milliseconds(1));
        assertAcknowledgeable(1);
        numbers_.setRead(now_ + lateListingLimit);
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

    void number_listedAfterAHigherOneWasDiscarded_isNew()
    {
        addRecorded(1);
        addRecorded(4);
        numbers_.setDiscarded(CompletionNumber(4));
        CPPUNIT_ASSERT(numbers_.add(CompletionNumber(3), now_));
        CPPUNIT_ASSERT(!numbers_.add(CompletionNumber(3), now_));
        CPPUNIT_ASSERT(numbers_.areAllRecorded());
        assertAcknowledgeable(4);
    }

private:
    void addRecorded(std::uint64_t number)
    {
        CPPUNIT_ASSERT(numbers_.add(CompletionNumber(number), now_));
        numbers_.setRecorded(CompletionNumber(number));
    }
    void assertAcknowledgeable(std::uint64_t number) const
    {
        CPPUNIT_ASSERT_EQUAL(number, numbers_.acknowledgeable().value());
    }

    const TimePoint now_ {Milliseconds(1000)};
    CompletionNumbers numbers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionNumbersTest);

} // namespace caraway::tests
