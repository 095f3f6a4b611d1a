#include "Cell/HolderElection.h"
#include "Cell/SimulatedStore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// A holder whose events are handled late, as it has more work than its processor can do.
class HolderElectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HolderElectionTest);
    CPPUNIT_TEST(holder_whoseTicksAreQueuedBehindOtherEvents_keepsItsLease);
    CPPUNIT_TEST(holder_whoseRenewalsAreAnsweredLate_renewsAtTheUsualInterval);
    CPPUNIT_TEST(holder_whoseLeaseHasExpired_restoresItOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        election_.start();
        advance(Milliseconds(3000), [this] { election_.tick(); });
        CPPUNIT_ASSERT(election_.isHolder());
        renewals_ = grants_ = 0;
    }

    void holder_whoseTicksAreQueuedBehindOtherEvents_keepsItsLease()
    {
        advance(Milliseconds(5000), [this] { election_.renewIfDue(); });
        CPPUNIT_ASSERT(store_.find({RecordType::HolderLease, {}}) != nullptr);
        CPPUNIT_ASSERT_EQUAL(0, grants_);
    }

    void holder_whoseRenewalsAreAnsweredLate_renewsAtTheUsualInterval()
    {
        answersRenewals_ = false;
        advance(Milliseconds(2000), [this] { election_.renewIfDue(); });
        CPPUNIT_ASSERT_GREATER(3, renewals_);
        CPPUNIT_ASSERT_LESS(7, renewals_);
    }

    void holder_whoseLeaseHasExpired_restoresItOnce()
    {
        advance(Milliseconds(2000), [] {});
        CPPUNIT_ASSERT(store_.find({RecordType::HolderLease, {}}) == nullptr);
        advance(Milliseconds(1000), [this] { election_.tick(); });
        CPPUNIT_ASSERT(store_.find({RecordType::HolderLease, {}}) != nullptr);
        CPPUNIT_ASSERT(election_.isHolder());
        CPPUNIT_ASSERT_EQUAL(1, grants_);
    }

private:
    static constexpr Milliseconds step {25};

    template<class Action>
    void advance(Milliseconds duration, Action action)
    {
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            now_ = now_ + step;
            context_.setTime(now_, WallTime());
            store_.tick(now_);
            action();
            callStore();
        }
    }

    void callStore()
    {
        for (const StoreCall &call : context_.takeActions().store) {
            const bool isRenewal = std::holds_alternative<StoreRenewLease>(call.request);
            renewals_ += isRenewal ? 1 : 0;
            grants_ += std::holds_alternative<StoreGrantLease>(call.request) ? 1 : 0;
            const bool isAnswered = !isRenewal || answersRenewals_;
            store_.handle(now_, call.request, [=, this, id = call.id](const StoreReply &reply) {
                if (isAnswered)
                    context_.complete(id, reply);
            });
        }
    }

    SimulatedStore store_;
    TimePoint now_;
    CellContext context_ {CellSettings(), ProcessId {InstanceId("entry"), 1}};
    HolderElection election_ {context_, {[] {}, [] {}}};
    bool answersRenewals_ = true;
    int renewals_ = 0;
    int grants_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HolderElectionTest);

} // namespace caraway::tests
