#include "Decisions/Policy/BestFit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

/// The choice of workers after one has shrunk below what it runs.
class ShrunkWorkerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShrunkWorkerTest);
    CPPUNIT_TEST(timesIn_negativeAmountOfWhatIsNotNeeded_isZero);
    CPPUNIT_TEST(choose_afterTheLossOfItsAccelerators_choosesNoWorker);
    CPPUNIT_TEST(choose_afterShrinkingBelowItsTasks_choosesNoWorker);
    CPPUNIT_TEST(chooseForGang_afterShrinkingBelowItsTasks_choosesNoWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        ledger_ = {};
        placement_ = BestFit();
        setCapacity(size(8, 2));
        ledger_.setOpen(worker_, true);
        placement_.onChanged(ledger_, worker_);
    }

    void timesIn_negativeAmountOfWhatIsNotNeeded_isZero()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), size(1, 0).timesIn(size(8, -1), 5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), size(1, 1).timesIn(size(8, -1), 5));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), size(1, 0).timesIn(size(8, 0), 5));
    }

    void choose_afterTheLossOfItsAccelerators_choosesNoWorker()
    {
        CPPUNIT_ASSERT(placement_.choose(ledger_, size(1, 1)).has_value());
        setCapacity(size(8, 0));
        CPPUNIT_ASSERT(!placement_.choose(ledger_, size(1, 1)).has_value());
        CPPUNIT_ASSERT(placement_.choose(ledger_, size(1, 0)).has_value());
    }

    void choose_afterShrinkingBelowItsTasks_choosesNoWorker()
    {
        shrinkBelowTasks();
        CPPUNIT_ASSERT(!placement_.choose(ledger_, size(1, 0)).has_value());
        CPPUNIT_ASSERT(!placement_.choose(ledger_, size(1, 1)).has_value());
    }

    void chooseForGang_afterShrinkingBelowItsTasks_choosesNoWorker()
    {
        shrinkBelowTasks();
        CPPUNIT_ASSERT(placement_.chooseForGang(ledger_, size(1, 0), 2).empty());
    }

private:
    static Resources size(std::int64_t cores, std::int64_t accelerators)
    {
        return {Millicores(cores * 1000), Bytes(cores << 30), Accelerators(accelerators),
                Slots(cores)};
    }
    void setCapacity(const Resources &capacity)
    {
        WorkerMember member;
        member.id = WorkerId("w");
        member.rack = RackId("r");
        member.capacity = capacity;
        worker_ = ledger_.setWorker(member);
        placement_.onChanged(ledger_, worker_);
    }
    /// Two tasks with an accelerator each run on the worker, which keeps one accelerator.
    void shrinkBelowTasks()
    {
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(ledger_.reserve(worker_, size(1, 1)));
        setCapacity(size(8, 1));
    }

    AllocationLedger ledger_;
    BestFit placement_;
    WorkerIndex worker_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShrunkWorkerTest);

} // namespace caraway::tests
