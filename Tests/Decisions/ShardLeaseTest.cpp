#include "Decisions/ShardLease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

class ShardLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShardLeaseTest);
    CPPUNIT_TEST(tick_recordAbsent_claims);
    CPPUNIT_TEST(tick_foreignRecordUnchangedForLease_claims);
    CPPUNIT_TEST(tick_storeUnreadPastForeignLease_doesNotClaim);
    CPPUNIT_TEST(tick_notACandidateOfTheRecord_doesNotClaim);
    CPPUNIT_TEST(tick_noCandidateOfTheRecordListed_claims);
    CPPUNIT_TEST(tick_unrenewedPastLease_isSuspended);
    CPPUNIT_TEST(tick_wokenPastLease_isSuspendedAndLearnsItsSuccessor);
    CPPUNIT_TEST(written_suspendedUnderSameEpoch_servesWithoutNewRecovery);
    CPPUNIT_TEST(written_conflictWithOwnLostWrite_renewsAtOnce);
    CPPUNIT_TEST(notice_recordReleased_claimsAtOnce);
    CPPUNIT_TEST(tick_recordReleased_claimsInOrderOfPreference);
    CPPUNIT_TEST(tick_stopping_doesNotClaim);
    CPPUNIT_TEST(written_claimWhileStopping_isReleased);
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
    static ShardRecord foreignRecord()
    {
        return {ShardId("z"), InstanceId("b"), Epoch(4), 7, false, Revision(9), {}};
    }
    void listEntries(const std::vector<std::string> &names)
    {
        InstanceList list;
        for (const std::string &name : names)
            list.entries.push_back({InstanceId(name), ZoneId("z"), {}, {}, MemberState::Live});
        membership_.update(list);
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
    void setUp() override { listEntries({"a"}); }

    void tick_recordAbsent_claims()
    {
        holdFrom(1000);
        CPPUNIT_ASSERT(lease_.isHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), lease_.epoch().value());
    }

    void tick_foreignRecordUnchangedForLease_claims()
    {
        const ShardRecord foreign = foreignRecord();
        lease_.onRecordRead(at(1000), at(990), foreign);
        lease_.onTick(at(1000 + settings_.shardLease.count() - 1));
        CPPUNIT_ASSERT(!takeWrite());
        // The time alone proves nothing: the holder may have renewed since the last reading.
        const std::int64_t lapsesAt = 1000 + settings_.shardLease.count();
        lease_.onTick(at(lapsesAt));
        CPPUNIT_ASSERT(!takeWrite());
        CPPUNIT_ASSERT(lease_.takeReadWanted());
        lease_.onRecordRead(at(lapsesAt + 2), at(lapsesAt), foreign);
        lease_.onTick(at(lapsesAt + 3));
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

    void tick_storeUnreadPastForeignLease_doesNotClaim()
    {
        lease_.onRecordRead(at(1000), at(990), foreignRecord());
        for (std::int64_t ms = 1000; ms < 20'000; ms += 25)
            lease_.onTick(at(ms));
        CPPUNIT_ASSERT(!takeWrite());
    }

    void tick_notACandidateOfTheRecord_doesNotClaim()
    {
        ShardRecord foreign = foreignRecord();
        foreign.candidates = {InstanceId("b"), InstanceId("c")};
        listEntries({"a", "b", "c"});
        for (std::int64_t ms = 1000; ms < 20'000; ms += 25) {
            lease_.onRecordRead(at(ms), at(ms), foreign);
            lease_.onTick(at(ms));
        }
        CPPUNIT_ASSERT(!takeWrite());
    }

    void tick_noCandidateOfTheRecordListed_claims()
    {
        ShardRecord foreign = foreignRecord();
        foreign.candidates = {InstanceId("b"), InstanceId("c")};
        for (std::int64_t ms = 1000; ms < 20'000; ms += 25) {
            lease_.onRecordRead(at(ms), at(ms), foreign);
            lease_.onTick(at(ms));
        }
        CPPUNIT_ASSERT(takeWrite());
    }

    void tick_wokenPastLease_isSuspendedAndLearnsItsSuccessor()
    {
        ShardRecord record = holdFrom(1000);
        lease_.onRecovered();
        lease_.onTick(at(60'000));
        CPPUNIT_ASSERT(lease_.isHeld() && !lease_.isServing());
        record.holder = InstanceId("b");
        record.epoch = record.epoch.next();
        record.revision = Revision(5);
        lease_.onRecordRead(at(60'010), at(60'005), record);
        CPPUNIT_ASSERT(!lease_.isHeld());
    }

    void written_suspendedUnderSameEpoch_servesWithoutNewRecovery()
    {
        holdFrom(1000);
        lease_.takeRecoveryBegun();
        lease_.onRecovered();
        lease_.onTick(at(1800));
        ShardRecord renewal = *takeWrite();
        lease_.onTick(lease_.startsEndAt());
        CPPUNIT_ASSERT(!lease_.isServing());
        renewal = *takeWrite();
        lease_.onRecordWritten(at(3400), at(3350), {renewal, StoreOutcome::Done});
        CPPUNIT_ASSERT(lease_.isServing());
        CPPUNIT_ASSERT(!lease_.takeRecoveryBegun());
    }

    void written_conflictWithOwnLostWrite_renewsAtOnce()
    {
        holdFrom(1000);
        lease_.onTick(at(1800));
        ShardRecord lost = *takeWrite();
        lease_.onRecordWritten(at(2200), at(1800), {lost, StoreOutcome::Unanswered});
        CPPUNIT_ASSERT(lease_.takeReadWanted());
        lease_.onTick(at(2500));
        const ShardRecord second = *takeWrite();
        lease_.onRecordWritten(at(2510), at(2500), {second, StoreOutcome::Conflict});
        CPPUNIT_ASSERT(lease_.takeReadWanted());
        lost.revision = Revision(2);
        lease_.onRecordRead(at(2520), at(2515), lost);
        const std::optional<ShardRecord> third = takeWrite();
        CPPUNIT_ASSERT(third && third->revision == Revision(2));
        CPPUNIT_ASSERT(lease_.isHeld());
    }

    void notice_recordReleased_claimsAtOnce()
    {
        ShardRecord foreign = foreignRecord();
        lease_.onRecordRead(at(1000), at(990), foreign);
        foreign.released = true;
        foreign.revision = Revision(10);
        lease_.onRecordNotice(at(1100), foreign);
        lease_.onTick(at(1101));
        const std::optional<ShardRecord> claim = takeWrite();
        CPPUNIT_ASSERT(claim && claim->epoch == Epoch(5) && !claim->released);
    }

    void tick_recordReleased_claimsInOrderOfPreference()
    {
        ShardRecord foreign = foreignRecord();
        foreign.candidates = {InstanceId("b"), InstanceId("c"), InstanceId("a")};
        foreign.released = true;
        listEntries({"a", "b", "c"});
        lease_.onRecordRead(at(1000), at(990), foreign);
        lease_.onTick(at(1290));
        CPPUNIT_ASSERT(!takeWrite());
        lease_.onTick(at(1300));
        CPPUNIT_ASSERT(takeWrite());
    }

    void tick_stopping_doesNotClaim()
    {
        lease_.onStopRequested(at(900));
        lease_.onRecordRead(at(1000), at(1000), std::nullopt);
        lease_.onTick(at(1000));
        CPPUNIT_ASSERT(!takeWrite());
    }

    void written_claimWhileStopping_isReleased()
    {
        lease_.onRecordRead(at(1000), at(1000), std::nullopt);
        lease_.onTick(at(1000));
        ShardRecord claim = *takeWrite();
        lease_.onStopRequested(at(1001));
        claim.revision = Revision(1);
        lease_.onRecordWritten(at(1002), at(1000), {claim, StoreOutcome::Done});
        const std::optional<ShardRecord> release = takeWrite();
        CPPUNIT_ASSERT(release && release->released);
        CPPUNIT_ASSERT(!lease_.isServing());
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
