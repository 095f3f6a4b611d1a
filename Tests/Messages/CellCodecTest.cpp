#include "Messages/CellCodec.h"
#include "Messages/CellFrameCodec.h"

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
    CPPUNIT_TEST(decode_encodedJobOfAnAccount_hasTheAccount);
    CPPUNIT_TEST(encode_jobWithoutAccount_hasNoFurtherField);
    CPPUNIT_TEST(decode_encodedConfiguration_returnsEqualAccountsAndQueues);
    CPPUNIT_TEST(decode_relayedRequest_hasTheKey);
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

    void decode_encodedJobOfAnAccount_hasTheAccount()
    {
        AcceptedJob job;
        job.spec.id = JobId("a");
        job.account = AccountId("account");
        const RecordValue decoded = decodeRecord(RecordType::Jobs, encodeRecord(job));
        CPPUNIT_ASSERT(std::get<AcceptedJob>(decoded).account == job.account);
    }

    /// Guards against records that an earlier release would refuse in deployments without accounts.
    void encode_jobWithoutAccount_hasNoFurtherField()
    {
        const std::string bytes = encodeRecord(AcceptedJob {});
        constexpr std::size_t fieldsOfEarlierReleases = 9;
        CPPUNIT_ASSERT_EQUAL(fieldsOfEarlierReleases, nlohmann::json::from_cbor(bytes).size());
    }

    void decode_encodedConfiguration_returnsEqualAccountsAndQueues()
    {
        CellConfiguration configuration;
        configuration.version = ConfigurationVersion(7);
        configuration.hasAccounts = true;
        ClientAccount account;
        account.id = AccountId("account");
        account.keys = {AccountKey("key-1"), AccountKey("key-2")};
        account.weight = AccountWeight(2500);
        account.cap.processors = Millicores(4000);
        account.cap.memory = Bytes(1 << 30);
        configuration.accounts = {account};
        Queue queue;
        queue.id = QueueId("queue");
        queue.host = "host";
        queue.prefix = "/q/";
        queue.timeout = Milliseconds(3000);
        queue.isPublic = true;
        configuration.queues = {queue};
        configuration.upstreams = {UpstreamId("upstream")};
        const PeerMessage message = PeerConfigurationReply {3, configuration.version,
                                                            Milliseconds(40), configuration};
        const auto reply = std::get<PeerConfigurationReply>(sent(message));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), reply.number);
        CPPUNIT_ASSERT(reply.age == Milliseconds(40));
        CPPUNIT_ASSERT(reply.configuration->hasAccounts);
        CPPUNIT_ASSERT(reply.configuration->accounts == configuration.accounts);
        CPPUNIT_ASSERT(reply.configuration->upstreams == configuration.upstreams);
        const Queue &received = reply.configuration->queues.at(0);
        CPPUNIT_ASSERT(received.host == queue.host && received.prefix == queue.prefix);
        CPPUNIT_ASSERT(received.isPublic && received.timeout == queue.timeout);
    }

    void decode_relayedRequest_hasTheKey()
    {
        CallerRequest request;
        request.body = ReadJob {JobId("a")};
        request.key = AccountKey("key");
        const auto relayed = std::get<PeerCallerRequest>(sent(PeerCallerRequest {request}));
        CPPUNIT_ASSERT(relayed.request.key == request.key);
    }

private:
    /// The message as the other instance decodes it.
    static PeerMessage sent(const PeerMessage &message)
    {
        const PeerFrame frame {{InstanceId("a"), 1}, {"10.0.0.1", 7000}, message};
        const Result<PeerFrame> decoded = decodeCellFrame(encodeCellFrame(frame));
        CPPUNIT_ASSERT(decoded);
        return decoded->message;
    }

    static std::string toCbor(const std::string &json)
    {
        const std::vector<std::uint8_t> bytes
                = nlohmann::json::to_cbor(nlohmann::json::parse(json));
        return {bytes.begin(), bytes.end()};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellCodecTest);

} // namespace caraway::tests
