#include "Cell/AccountLedger.h"
#include "Cell/Policy/SubmissionRate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Caps and shares of client accounts, and the rates at which they submit.
class AccountLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AccountLedgerTest);
    CPPUNIT_TEST(startableTasks_belowTheCap_fillIt);
    CPPUNIT_TEST(startableTasks_withUnreadWorkers_countTheirCapacityAsUsed);
    CPPUNIT_TEST(startableTasks_ofATaskAboveTheCap_isOneWhenNothingRuns);
    CPPUNIT_TEST(startableTasks_afterAReservationForAGang_leaveItsRoom);
    CPPUNIT_TEST(startableTasks_withALoweredCap_areNone);
    CPPUNIT_TEST(startableTasks_withoutAccounts_areAll);
    CPPUNIT_TEST(isAboveShare_withIdleAccounts_sharesTheFleetAmongTheOthers);
    CPPUNIT_TEST(isAboveShare_byTheScarcestResource_isTrue);
    CPPUNIT_TEST(recordJob_beyondTheWeight_isSurplusUntilTheNextSecond);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        configuration_.version = ConfigurationVersion(1);
        configuration_.hasAccounts = true;
        configuration_.accounts = {account("large", 3000), account("small", 1000)};
        configuration_.accounts.front().cap.processors = Millicores(10'000);
        ledger_.configure(configuration_);
        large_ = ledger_.numberOf(AccountId("large"));
        small_ = ledger_.numberOf(AccountId("small"));
        ledger_.beginPass({Millicores(40'000), Bytes(40'000), {}, {}});
    }

    /// Guards against an account that gets more at once than the operator allows.
    void startableTasks_belowTheCap_fillIt()
    {
        run(large_, 4000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), startable(2000, 20));
        run(large_, 6000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), startable(2000, 20));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), ledger_.startableTasks(small_, cores(2000), 20));
    }

    /// Guards against a new holder that starts beside runs of the earlier one.
    void startableTasks_withUnreadWorkers_countTheirCapacityAsUsed()
    {
        run(large_, 2000);
        ledger_.addUnknown(cores(5000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), startable(1000, 20));
        ledger_.addUnknown(cores(5000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), startable(1000, 20));
    }

    /// Guards against a task that waits for ever.
    void startableTasks_ofATaskAboveTheCap_isOneWhenNothingRuns()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), startable(12'000, 5));
        run(large_, 12'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), startable(12'000, 5));
    }

    /// Guards against a gang that small tasks of its own account keep from its room.
    void startableTasks_afterAReservationForAGang_leaveItsRoom()
    {
        run(large_, 4000);
        ledger_.reserve(large_, cores(1000), 5);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), startable(1000, 20));
    }

    void startableTasks_withALoweredCap_areNone()
    {
        run(large_, 4000);
        configuration_.version = ConfigurationVersion(2);
        configuration_.accounts.front().cap.processors = Millicores(3000);
        ledger_.configure(configuration_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), startable(500, 20));
    }

    void startableTasks_withoutAccounts_areAll()
    {
        AccountLedger ledger;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20),
                             ledger.startableTasks(AccountNumber(), cores(99'000), 20));
    }

    /// Guards against capacity that stays idle because its account has no work.
    void isAboveShare_withIdleAccounts_sharesTheFleetAmongTheOthers()
    {
        ledger_.addWaiting(large_);
        run(large_, 30'000);
        ledger_.finishCounting();
        CPPUNIT_ASSERT(!ledger_.isAboveShare(large_));
        ledger_.addWaiting(small_);
        ledger_.beginPass({Millicores(40'000), Bytes(40'000), {}, {}});
        ledger_.addWaiting(small_);
        run(large_, 30'000);
        ledger_.finishCounting();
        CPPUNIT_ASSERT(ledger_.isAboveShare(large_));
        CPPUNIT_ASSERT(!ledger_.isAboveShare(small_));
    }

    void isAboveShare_byTheScarcestResource_isTrue()
    {
        ledger_.addWaiting(large_);
        ledger_.addWaiting(small_);
        ledger_.addRunning({small_, {Millicores(1000), Bytes(12'000), {}, {}}});
        ledger_.finishCounting();
        CPPUNIT_ASSERT(ledger_.isAboveShare(small_));
    }

    /// Guards against a flood that counts as work to which the account is entitled.
    void recordJob_beyondTheWeight_isSurplusUntilTheNextSecond()
    {
        WeightRate rate;
        const TimePoint start {Milliseconds(1000)};
        std::size_t surplus = 0;
        for (int i = 0; i < 10; ++i)
            surplus += rate.recordJob(large_, AccountWeight(3000), start) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), surplus);
        CPPUNIT_ASSERT(!rate.recordJob(large_, AccountWeight(3000), start + Milliseconds(400)));
        CPPUNIT_ASSERT(!rate.recordJob(AccountNumber(), AccountWeight(1000), start));
    }

private:
    static ClientAccount account(const std::string &name, std::int64_t weight)
    {
        ClientAccount account;
        account.id = AccountId(name);
        account.weight = AccountWeight(weight);
        return account;
    }
    static Resources cores(std::int64_t millicores) { return {Millicores(millicores), {}, {}, {}}; }
    void run(AccountNumber account, std::int64_t millicores)
    {
        ledger_.addRunning({account, cores(millicores)});
    }
    std::int64_t startable(std::int64_t millicores, std::int64_t tasks) const
    {
        return ledger_.startableTasks(large_, cores(millicores), tasks);
    }

    CellConfiguration configuration_;
    AccountLedger ledger_;
    AccountNumber large_;
    AccountNumber small_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLedgerTest);

} // namespace caraway::tests
