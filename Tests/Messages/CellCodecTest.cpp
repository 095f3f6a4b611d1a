#include "Messages/CellCodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace caraway::tests {

using namespace cell;

class CellCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellCodecTest);
    CPPUNIT_TEST(decode_encodedClosedWorkers_returnsEqualRecord);
    CPPUNIT_TEST(decode_closedWorkersWithoutJobs_isMalformed);
    CPPUNIT_TEST(decode_encodedCrashes_returnsEqualRecord);
    CPPUNIT_TEST(decode_progressOfAnEarlierRelease_hasNoCrashes);
    CPPUNIT_TEST(encode_progressWithoutCrashes_equalsThatOfAnEarlierRelease);
    CPPUNIT_TEST(decode_malformedCrashes_isMalformed);
    CPPUNIT_TEST(decode_encodedStartLog_returnsEqualRecord);
    CPPUNIT_TEST(decode_startLogOfAnEarlierRelease_hasNoAddresses);
    CPPUNIT_TEST(decode_startLogWithoutARunNumber_isMalformed);
    CPPUNIT_TEST_SUITE_END();

    void decode_encodedClosedWorkers_returnsEqualRecord()
    {
        const ClosedWorkersRecord record {
                {{WorkerId("a"), {JobId("1"), JobId("2")}}, {WorkerId("b"), {}}}};
        const RecordValue decoded = decodeRecord(RecordType::ClosedWorkers, encodeRecord(record));
        CPPUNIT_ASSERT(std::holds_alternative<ClosedWorkersRecord>(decoded));
        CPPUNIT_ASSERT(std::get<ClosedWorkersRecord>(decoded).workers == record.workers);
    }

    void decode_closedWorkersWithoutJobs_isMalformed()
    {
        const std::string roster = encodeRecord(RosterRecord {{WorkerId("a")}});
        CPPUNIT_ASSERT(
                std::holds_alternative<Malformed>(decodeRecord(RecordType::ClosedWorkers, roster)));
    }

    void decode_encodedCrashes_returnsEqualRecord()
    {
        StepProgress step;
        step.done = {true, false};
        step.crashes[1]
                = {{WorkerId("a"), WorkerIncarnation(7)}, {WorkerId("b"), WorkerIncarnation(8)}};
        step.sharedCrashes[1] = {{WorkerId("b"), WorkerIncarnation(8)}};
        step.starts[1] = {RunNumber(9), WorkerId("c"), WorkerIncarnation(3)};
        const RecordValue decoded
                = decodeRecord(RecordType::Progress, encodeRecord(JobProgress {{step}}));
        CPPUNIT_ASSERT(std::holds_alternative<JobProgress>(decoded));
        CPPUNIT_ASSERT(std::get<JobProgress>(decoded).steps.front().crashes == step.crashes);
        CPPUNIT_ASSERT(std::get<JobProgress>(decoded).steps.front().sharedCrashes
                       == step.sharedCrashes);
        CPPUNIT_ASSERT(std::get<JobProgress>(decoded).steps.front().starts == step.starts);
    }

    void decode_progressOfAnEarlierRelease_hasNoCrashes()
    {
        const RecordValue decoded
                = decodeRecord(RecordType::Progress, toCbor(R"([["10",[[1,[5]]],[[1,"text"]]]])"));
        CPPUNIT_ASSERT(std::holds_alternative<JobProgress>(decoded));
        const StepProgress &step = std::get<JobProgress>(decoded).steps.front();
        CPPUNIT_ASSERT(step.crashes.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), step.checkpoints.at(1));
    }

    void encode_progressWithoutCrashes_equalsThatOfAnEarlierRelease()
    {
        StepProgress step;
        step.done = {true, false};
        CPPUNIT_ASSERT(toCbor(R"([["10",[],[]]])") == encodeRecord(JobProgress {{step}}));
    }

    void decode_malformedCrashes_isMalformed()
    {
        CPPUNIT_ASSERT(std::holds_alternative<Malformed>(
                decodeRecord(RecordType::Progress, toCbor(R"([["10",[],[],[[1,[["a"]]]]]])"))));
    }

    void decode_encodedStartLog_returnsEqualRecord()
    {
        const LoggedStart start {{JobId("a"), Occurrence(1), StepIndex(2), TaskIndex(3)},
                                 RunNumber(4097),
                                 WorkerId("w"),
                                 WorkerIncarnation(1'700'000'000'000),
                                 true,
                                 Address {"10.0.0.1", 8080}};
        const RecordValue decoded
                = decodeRecord(RecordType::StartLog, encodeRecord(StartLogSegment {9, {start}}));
        CPPUNIT_ASSERT(std::holds_alternative<StartLogSegment>(decoded));
        const auto &segment = std::get<StartLogSegment>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), segment.number);
        CPPUNIT_ASSERT(segment.starts == std::vector({start}));
    }

    void decode_startLogOfAnEarlierRelease_hasNoAddresses()
    {
        const RecordValue decoded
                = decodeRecord(RecordType::StartLog, toCbor(R"([1,[["a",0,0,0,7,"w",5,false]]])"));
        const auto &segment = std::get<StartLogSegment>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), segment.starts.size());
        CPPUNIT_ASSERT(segment.starts.front().address == Address());
    }

    void decode_startLogWithoutARunNumber_isMalformed()
    {
        CPPUNIT_ASSERT(std::holds_alternative<Malformed>(
                decodeRecord(RecordType::StartLog, toCbor(R"([1,[["a",0,0,0]]])"))));
    }

private:
    static std::string toCbor(const std::string &json)
    {
        const std::vector<std::uint8_t> bytes
                = nlohmann::json::to_cbor(nlohmann::json::parse(json));
        return {bytes.begin(), bytes.end()};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellCodecTest);

} // namespace caraway::tests
