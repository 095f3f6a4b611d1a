#include "Decisions/ShardLease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

class ShardLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShardLeaseTest);
    CPPUNIT_TEST(tick_recordAbsent_claims);
    CPPUNIT_TEST(tick_foreignRecordUnchangedForLease_claims);
    CPPUNIT_TEST(tick_unrenewedPastLease_isSuspended);
    CPPUNIT_TEST(recordRead_olderWriteOfOurs_doesNotExtendLease);
    CPPUNIT_TEST_SUITE_END();

    DecisionSettings settings_ = makeSettings();
    Membership membership_ {settings_};
    ShardLease lease_ {ShardId("z"), settings_, membership_};

    static DecisionSettings makeSettings()
    {
        DecisionSettings settings;
        settings.self = InstanceId("a");
        return settings;
    }
    static TimePoint at(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

    std::optional<ShardRecord> takeWrite()
    {
        Actions actions;
        lease_.drainActions(actions);
        std::optional<ShardRecord> record;
        for (const Action &action : actions) {
            if (const auto *call = std::get_if<CallStore>(&action))
                record = std::get<WriteShardRecord>(call->body).record;
        }
        return record;
    }

    ShardRecord holdFrom(std::int64_t ms)
    {
        lease_.onRecordRead(at(ms), at(ms), std::nullopt);
        lease_.onTick(at(ms));
        ShardRecord record = *takeWrite();
        record.revision = Revision(1);
        lease_.onRecordWritten(at(ms + 1), at(ms), {record, StoreOutcome::Done});
        return record;
    }

public:
    void setUp() override
    {
        membership_.update({{{InstanceId("a"), ZoneId("z"), {}, {}, MemberState::Live}}, {}});
    }

    void tick_recordAbsent_claims()
    {
        holdFrom(1000);
        CPPUNIT_ASSERT(lease_.isHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), lease_.epoch().value());
    }

    void tick_foreignRecordUnchangedForLease_claims()
    {
        const ShardRecord foreign {ShardId("z"), InstanceId("b"), Epoch(4), 7, false, Revision(9)};
        lease_.onRecordRead(at(1000), at(990), foreign);
        lease_.onTick(at(1000 + settings_.shardLease.count() - 1));
        CPPUNIT_ASSERT(!takeWrite());
        lease_.onTick(at(1000 + settings_.shardLease.count()));
        const std::optional<ShardRecord> claim = takeWrite();
        CPPUNIT_ASSERT(claim && claim->epoch == Epoch(5) && claim->revision == Revision(9));
    }

    void tick_unrenewedPastLease_isSuspended()
    {
        holdFrom(1000);
        lease_.onRecovered();
        CPPUNIT_ASSERT(lease_.isServing());
        lease_.onTick(lease_.startsEndAt());
        CPPUNIT_ASSERT(lease_.isHeld() && !lease_.isServing());
    }

    void recordRead_olderWriteOfOurs_doesNotExtendLease()
    {
        holdFrom(1000);
        const TimePoint end = lease_.startsEndAt();
        lease_.onTick(at(1800));
        ShardRecord first = *takeWrite();
        lease_.onTick(at(2600));
        CPPUNIT_ASSERT(takeWrite());
        first.revision = Revision(2);
        lease_.onRecordRead(at(2700), at(2690), first);
        CPPUNIT_ASSERT(end == lease_.startsEndAt());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardLeaseTest);

} // namespace caraway::tests
