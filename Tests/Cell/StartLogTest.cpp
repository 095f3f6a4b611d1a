#include "Cell/StartLog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

class StartLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartLogTest);
    CPPUNIT_TEST(takeSegment_ofANewLog_containsTheAddedStarts);
    CPPUNIT_TEST(takeSegment_overwritingANeededStart_writesItAgain);
    CPPUNIT_TEST(takeSegment_overwritingStartsThatAreNotNeeded_dropsThem);
    CPPUNIT_TEST(takeSegment_withVeryManyStarts_leavesSomeToTheNext);
    CPPUNIT_TEST(startTerm_withSegmentsOfAnEarlierTerm_continuesAfterTheLatest);
    CPPUNIT_TEST(log_withAStart_isDueAfterAWhile);
    CPPUNIT_TEST(openStarts_ofATaskStartedTwice_containBothRuns);
    CPPUNIT_TEST(openStarts_ofAStartWrittenTwice_containItOnce);
    CPPUNIT_TEST(openStarts_ofARunThatEnded_containOnlyTheNextRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void takeSegment_ofANewLog_containsTheAddedStarts()
    {
        log_.addStart(start("a", 1));
        log_.addStart(start("b", 1));
        const StoreWrite write = log_.takeSegment(needsAll);
        CPPUNIT_ASSERT(write.key.type == RecordType::StartLog);
        CPPUNIT_ASSERT(startsOf(write) == std::vector({start("a", 1), start("b", 1)}));
        CPPUNIT_ASSERT(!log_.hasNews());
    }

    void takeSegment_overwritingANeededStart_writesItAgain()
    {
        log_.addStart(start("a", 1));
        const StoreWrite first = log_.takeSegment(needsAll);
        CPPUNIT_ASSERT(startsOf(nextAtPositionOf(first, needsAll)).front() == start("a", 1));
    }

    void takeSegment_overwritingStartsThatAreNotNeeded_dropsThem()
    {
        log_.addStart(start("a", 1));
        const StoreWrite first = log_.takeSegment(needsAll);
        const StoreWrite later = nextAtPositionOf(first, [](const LoggedStart &) { return false; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), startsOf(later).size());
        CPPUNIT_ASSERT(startsOf(later).front() != start("a", 1));
    }

    void takeSegment_withVeryManyStarts_leavesSomeToTheNext()
    {
        constexpr std::size_t count = 1500;
        for (std::size_t i = 0; i < count; ++i)
            log_.addStart(start("a" + std::to_string(i), 1));
        const std::size_t first = startsOf(log_.takeSegment(needsAll)).size();
        CPPUNIT_ASSERT_LESS(count, first);
        CPPUNIT_ASSERT(log_.hasNews());
        CPPUNIT_ASSERT_EQUAL(count, first + startsOf(log_.takeSegment(needsAll)).size());
    }

    void startTerm_withSegmentsOfAnEarlierTerm_continuesAfterTheLatest()
    {
        log_.startTerm({{4, {260, {start("a", 1)}}}, {5, {133, {start("b", 1)}}}});
        log_.addStart(start("c", 2));
        const StoreWrite write = log_.takeSegment(needsAll);
        CPPUNIT_ASSERT_EQUAL(std::string("5"), write.key.name);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(261), std::get<StartLogSegment>(write.value).number);
        CPPUNIT_ASSERT(startsOf(write) == std::vector({start("b", 1), start("c", 2)}));
    }

    void log_withAStart_isDueAfterAWhile()
    {
        CPPUNIT_ASSERT(!log_.isDue());
        log_.addStart(start("a", 1));
        CPPUNIT_ASSERT(!log_.isDue());
        context_.setTime(TimePoint(Milliseconds(200)), WallTime());
        CPPUNIT_ASSERT(log_.isDue());
    }

    void openStarts_ofATaskStartedTwice_containBothRuns()
    {
        const auto open
                = StartLog::openStarts({{0, {1, {start("a", 2)}}}, {1, {2, {start("a", 1)}}}});
        CPPUNIT_ASSERT(open == std::vector({start("a", 1), start("a", 2)}));
    }

    void openStarts_ofAStartWrittenTwice_containItOnce()
    {
        const auto open
                = StartLog::openStarts({{0, {1, {start("a", 1)}}}, {1, {2, {start("a", 1)}}}});
        CPPUNIT_ASSERT(open == std::vector({start("a", 1)}));
    }

    void openStarts_ofARunThatEnded_containOnlyTheNextRun()
    {
        const auto open = StartLog::openStarts(
                {{0, {1, {start("a", 1), start("a", 2)}}}, {1, {2, {ended(start("a", 1))}}}});
        CPPUNIT_ASSERT(open == std::vector({start("a", 2)}));
    }

private:
    static bool needsAll(const LoggedStart & /*start*/) { return true; }

    static LoggedStart start(const std::string &job, std::uint64_t run)
    {
        return {{JobId(job), Occurrence(), StepIndex(), TaskIndex()},
                RunNumber(run),
                WorkerId("worker"),
                WorkerIncarnation(3),
                false};
    }

    static LoggedStart ended(LoggedStart start)
    {
        start.hasEnded = true;
        return start;
    }

    static std::vector<LoggedStart> startsOf(const StoreWrite &write)
    {
        return std::get<StartLogSegment>(write.value).starts;
    }

    /// Writes segments until one overwrites \a earlier.
    StoreWrite nextAtPositionOf(const StoreWrite &earlier, const StartLog::IsNeeded &isNeeded)
    {
        constexpr int mostSegments = 10'000;
        for (int i = 0; i < mostSegments; ++i) {
            log_.addStart(start("other" + std::to_string(i), 1));
            StoreWrite write = log_.takeSegment(isNeeded);
            if (write.key.name == earlier.key.name)
                return write;
        }
        CPPUNIT_FAIL("the position is not written again");
        return earlier;
    }

    CellContext context_ {CellSettings(), ProcessId()};
    StartLog log_ {context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartLogTest);

} // namespace caraway::tests
