#include "platform/PlatformProtocol.h"
#include "Messages/CellCodec.h"
#include "platform/PlatformJson.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;
using platform::Json;
using platform::PlatformProtocol;

/// Translation between the scheduler's types and the platform's messages.
class PlatformProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformProtocolTest);
    CPPUNIT_TEST(submission_wellFormed_isDecoded);
    CPPUNIT_TEST(submission_malformed_isAnsweredAsInvalid);
    CPPUNIT_TEST(submission_nestedTooDeeply_isAnsweredAsInvalid);
    CPPUNIT_TEST(path_withoutJobId_isAnsweredAsNotFound);
    CPPUNIT_TEST(path_ofQueue_isDecodedAsCountPending);
    CPPUNIT_TEST(refusal_withRetryAfter_isRoundedUpToSeconds);
    CPPUNIT_TEST(start_encoded_containsRunAndFencingToken);
    CPPUNIT_TEST(startRefusal_withReason_isDecoded);
    CPPUNIT_TEST(reply_withRunsAndCompletions_isDecoded);
    CPPUNIT_TEST(reply_malformed_isUnanswered);
    CPPUNIT_TEST(commit_encodedAndReadBack_preservesTheRecord);
    CPPUNIT_TEST(conflict_decoded_containsTheCurrentRevisions);
    CPPUNIT_TEST(watch_withDeletion_isDecoded);
    CPPUNIT_TEST(workerEntry_withInvalidValue_isMalformed);
    CPPUNIT_TEST(workerEntry_ofALeavingWorker_containsWhenItLeaves);
    CPPUNIT_TEST(configuration_decoded_containsQueueSettings);
    CPPUNIT_TEST(approval_decoded_containsTheTickets);
    CPPUNIT_TEST(frames_ofEveryKind_areDecodedUnchanged);
    CPPUNIT_TEST(frame_truncated_isRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void submission_wellFormed_isDecoded()
    {
        const auto decoded = decode("POST", "/q/" + id_ + "?x=1",
                                    R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,)"
                                    R"("estimateMs":900},{"cpu":1000,"after":[0],"gang":true,)"
                                    R"("checkpointing":true,"maxPerServer":2}]})");
        const auto &request = std::get<CallerRequest>(decoded);
        const JobSpec &job = std::get<SubmitJob>(request.body).spec;
        CPPUNIT_ASSERT_EQUAL(id_, job.id.value());
        CPPUNIT_ASSERT_EQUAL(std::string("host"), request.host);
        CPPUNIT_ASSERT(request.timeout == Milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), job.steps.size());
        CPPUNIT_ASSERT(job.steps[0].need.memory == Bytes(256 << 20));
        CPPUNIT_ASSERT(job.steps[1].after == std::vector<StepIndex> {StepIndex(0)});
        CPPUNIT_ASSERT(job.steps[1].gang && job.steps[1].checkpoints);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), job.steps[1].maxPerWorker);
    }

    void submission_malformed_isAnsweredAsInvalid()
    {
        for (const std::string body :
             {"", "{", "[]", R"({"steps":1})", R"({"steps":[{"cpu":"x"}]})",
              R"({"spec":5,"steps":[{}]})"}) {
            const auto decoded = decode("POST", "/q/" + id_, body);
            CPPUNIT_ASSERT_EQUAL(400, std::get<HttpReply>(decoded).status);
        }
    }

    void submission_nestedTooDeeply_isAnsweredAsInvalid()
    {
        const std::string body(100'000, '[');
        CPPUNIT_ASSERT_EQUAL(400, std::get<HttpReply>(decode("POST", "/q/" + id_, body)).status);
    }

    void path_withoutJobId_isAnsweredAsNotFound()
    {
        CPPUNIT_ASSERT_EQUAL(404, std::get<HttpReply>(decode("GET", "/q/nothex", {})).status);
    }

    void path_ofQueue_isDecodedAsCountPending()
    {
        const auto decoded = decode("GET", "/q/", {});
        CPPUNIT_ASSERT(std::holds_alternative<CountPending>(std::get<CallerRequest>(decoded).body));
    }

    void refusal_withRetryAfter_isRoundedUpToSeconds()
    {
        CallerAnswer answer;
        answer.outcome = CallerOutcome::Refused;
        answer.retryAfter = Milliseconds(1200);
        const HttpReply reply = protocol_.encodeAnswer(answer);
        CPPUNIT_ASSERT_EQUAL(503, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), reply.retryAfterSeconds);
    }

    void start_encoded_containsRunAndFencingToken()
    {
        const WorkerRequest call = start();
        const HttpRequest request = protocol_.encodeWorker(call);
        const Json body = Json::parse(request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/carawaymount/run-start"), request.target);
        CPPUNIT_ASSERT_EQUAL(id_ + ".0.1.17", body.at("task").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(7, body.at("fencingToken").get<int>());
        CPPUNIT_ASSERT_EQUAL(2, body.at("run").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("w-1"), request.headers.front().second);
    }

    void startRefusal_withReason_isDecoded()
    {
        const std::vector<std::pair<std::string, WorkerOutcome>> reasons = {
                {"fence", WorkerOutcome::Fenced},
                {"old", WorkerOutcome::Superseded},
                {"late", WorkerOutcome::DeadlinePassed},
                {"room", WorkerOutcome::InsufficientCapacity},
                {"ticket", WorkerOutcome::TicketInvalid},
        };
        for (const auto &[reason, outcome] : reasons) {
            const WorkerReply reply = protocol_.decodeWorker(
                    start(), answered(409, R"({"clockMs":5,"born":9,"reason":")" + reason + "\"}"));
            CPPUNIT_ASSERT(reply.outcome == outcome);
            CPPUNIT_ASSERT(reply.clock == WorkerTime(5)
                           && reply.incarnation == WorkerIncarnation(9));
        }
        CPPUNIT_ASSERT(protocol_.decodeWorker(start(), answered(421, {})).outcome
                       == WorkerOutcome::Misdirected);
        CPPUNIT_ASSERT(protocol_.decodeWorker(start(), answered(503, {})).outcome
                       == WorkerOutcome::Unhealthy);
    }

    void reply_withRunsAndCompletions_isDecoded()
    {
        const WorkerReply reply = protocol_.decodeWorker(
                start(),
                answered(200,
                         R"({"clockMs":5,"running":[[")" + id_
                                 + R"(.0.1.17",2,"save",41]],"finished":[[58,")" + id_
                                 + R"(.0.1.9",1,"done",""]]})"));
        CPPUNIT_ASSERT(reply.outcome == WorkerOutcome::Done);
        CPPUNIT_ASSERT(reply.running.at(0).task.index == TaskIndex(17));
        CPPUNIT_ASSERT_EQUAL(std::string("save"), reply.running.at(0).checkpoint);
        CPPUNIT_ASSERT(reply.completed.at(0).number == CompletionNumber(58));
        CPPUNIT_ASSERT(reply.completed.at(0).reason == CompletionReason::Succeeded);
    }

    void reply_malformed_isUnanswered()
    {
        CPPUNIT_ASSERT(protocol_.decodeWorker(start(), answered(200, "{")).outcome
                       == WorkerOutcome::Unanswered);
        CPPUNIT_ASSERT(protocol_.decodeStore(StoreCommit {}, answered(200, "nothing")).outcome
                       == StoreOutcome::Unanswered);
        CPPUNIT_ASSERT(!protocol_.decodeApproval(answered(200, "[]")).answered);
    }

    void commit_encodedAndReadBack_preservesTheRecord()
    {
        const AcceptedJob job = acceptedJob();
        StoreCommit commit;
        commit.require({RecordType::Jobs, id_}, Revision());
        commit.write({RecordType::Jobs, id_}, job);
        const Json body = Json::parse(protocol_.encodeStore(commit).body);
        const Json &write = body.at("writes").at(0);
        CPPUNIT_ASSERT_EQUAL(0, body.at("precondition").at(0).at("revision").get<int>());
        const Json items
                = {{"items",
                    {{{"key", write.at("key")}, {"value", write.at("value")}, {"revision", 12}}}},
                   {"hasMore", true},
                   {"at", 15}};
        const StoreReply reply = protocol_.decodeStore(StoreList {RecordType::JobsAndCancels, {}},
                                                       answered(200, items.dump()));
        CPPUNIT_ASSERT(reply.hasMore && reply.revision == Revision(15));
        const auto &read = std::get<AcceptedJob>(reply.items.at(0).value);
        CPPUNIT_ASSERT_EQUAL(id_, read.spec.id.value());
        CPPUNIT_ASSERT_EQUAL(job.spec.payload, read.spec.payload);
        CPPUNIT_ASSERT(read.spec.steps.at(0).gang);
        CPPUNIT_ASSERT(read.queue.approval->ticketValidity == Milliseconds(2500));
        CPPUNIT_ASSERT(reply.items.at(0).key.type == RecordType::Jobs);
    }

    void conflict_decoded_containsTheCurrentRevisions()
    {
        const StoreReply reply = protocol_.decodeStore(
                StoreCommit {},
                answered(412, R"({"items":[{"key":"caraway/result/x","revision":0}]})"));
        CPPUNIT_ASSERT(reply.outcome == StoreOutcome::Conflict);
        CPPUNIT_ASSERT(reply.items.at(0).revision == Revision());
    }

    void watch_withDeletion_isDecoded()
    {
        const StoreReply reply = protocol_.decodeStore(
                StoreWatch {RecordType::Holder, Revision(4), Milliseconds(1)},
                answered(200,
                         R"({"events":[{"key":"caraway/holder/lease","revision":9,)"
                         R"("deleted":true}],"at":9})"));
        CPPUNIT_ASSERT(reply.items.at(0).deleted);
        CPPUNIT_ASSERT(reply.items.at(0).key.type == RecordType::HolderLease);
        CPPUNIT_ASSERT(protocol_.decodeStore(StoreWatch {}, answered(410, {})).outcome
                       == StoreOutcome::HistoryCompacted);
    }

    void workerEntry_withInvalidValue_isMalformed()
    {
        for (const char *value : {"", "bm90IGpzb24=", "e30=", "W10="}) {
            const Json item = {{"key", "servers/w-1"}, {"value", value}, {"revision", 3}};
            const StoreReply reply = protocol_.decodeStore(StoreGet {{RecordType::Workers, "w-1"}},
                                                           answered(200, item.dump()));
            CPPUNIT_ASSERT(std::holds_alternative<Malformed>(reply.items.at(0).value));
        }
    }

    void workerEntry_ofALeavingWorker_containsWhenItLeaves()
    {
        Json json = Json::parse(R"({"service":"s","address":"10.0.0.9:8080","state":"draining",)"
                                R"("capacity":{"cpu":1000},"remainingMs":7000,"clockMs":482113})");
        const WorkerEntry announced = platform::decodeWorkerEntry("w-1", json);
        CPPUNIT_ASSERT(announced.remaining == Milliseconds(7000));
        CPPUNIT_ASSERT(announced.reportedAt == WorkerTime(482113));
        json.erase("remainingMs");
        json.erase("clockMs");
        const WorkerEntry unannounced = platform::decodeWorkerEntry("w-1", json);
        CPPUNIT_ASSERT(!unannounced.remaining && !unannounced.reportedAt);
    }

    void configuration_decoded_containsQueueSettings()
    {
        const CellConfiguration configuration = platform::decodeConfiguration(Json::parse(
                R"({"version":7,"routes":[{"name":"r","hostname":"host","prefix":"/q/",)"
                R"("timeoutMs":3000,"targetDurationMs":250,"priority":0,"service":"s",)"
                R"("maxAttempts":4,"stretch":1.5,"advice":{"decisionMs":10.0,"perWorkerMs":0.15,)"
                R"("validityMs":2500}}],"services":[{"name":"s","rejectsOverload":true}]})"));
        const Queue &queue = *configuration.queueAt("host", "/q/" + id_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150), queue.stretchPercent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150), queue.approval->perWorkerMicroseconds);
        CPPUNIT_ASSERT(configuration.upstreamsRejectingOverload.contains(UpstreamId("s")));
        CPPUNIT_ASSERT(!configuration.queueAt("other", "/q/"));
    }

    void approval_decoded_containsTheTickets()
    {
        const ApprovalReply reply = protocol_.decodeApproval(
                answered(200, R"({"approved":[["w-1","ticket"]],"validityMs":3000})"));
        CPPUNIT_ASSERT(reply.answered);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), reply.approved.at(0).ticket);
    }

    void frames_ofEveryKind_areDecodedUnchanged()
    {
        PeerStateUpdate update;
        update.generation = 3;
        update.changed = {{JobId(id_), JobState::Failed}};
        update.queues = {{QueueId("q"), 5, Milliseconds(9)}};
        CallerRequest submit;
        submit.body = SubmitJob {acceptedJob().spec};
        const std::vector<PeerMessage> messages = {
                PeerHello {{"10.0.0.1", 7}},
                PeerJobAccepted {acceptedJob()},
                PeerJobCancelled {JobId(id_)},
                PeerApprovalRequest {4, {{JobId(id_), {}, {}}, {WorkerId("w")}}, Milliseconds(5)},
                PeerApprovalReply {4, {true, {{WorkerId("w"), "ticket"}}}},
                update,
                PeerCallerRequest {submit},
                PeerCallerAnswer {{CallerRequestId(8), CallerOutcome::Refused, {}, 0, {}}},
        };
        for (const PeerMessage &message : messages) {
            const std::string bytes
                    = encodeCellFrame({{InstanceId("e"), 5}, {"10.0.0.2", 8}, message});
            recoverFrom(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(frame, decodeCellFrame(bytes));
                        CPPUNIT_ASSERT_EQUAL(message.index(), frame.message.index());
                        CPPUNIT_ASSERT_EQUAL(bytes, encodeCellFrame(frame));
                        return {};
                    },
                    [](const Error &error) { CPPUNIT_FAIL(error.message); });
        }
    }

    void frame_truncated_isRefused()
    {
        const std::string bytes = encodeCellFrame(
                {{InstanceId("e"), 5}, {"h", 8}, PeerJobAccepted {acceptedJob()}});
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const bool isRefused = recoverFrom(
                    [&]() -> Result<bool> {
                        BOOST_LEAF_CHECK(decodeCellFrame(bytes.substr(0, size)));
                        return false;
                    },
                    [](const Error &error) { return error.kind == ErrorKind::InvalidMessage; });
            CPPUNIT_ASSERT(isRefused);
        }
    }

private:
    std::variant<CallerRequest, HttpReply>
    decode(const std::string &method, const std::string &target, const std::string &body) const
    {
        HttpRequest request {method, target, "host:8161", {{"deadline-ms", "2500"}}, body};
        return protocol_.decodeCaller(CallerRequestId(1), std::move(request));
    }

    static HttpResponse answered(int status, const std::string &body)
    {
        return {HttpOutcome::Answered, status, body};
    }

    WorkerRequest start() const
    {
        WorkerStart start;
        start.task = {JobId(id_), Occurrence(0), StepIndex(1), TaskIndex(17)};
        start.run = RunNumber(2);
        start.deadline = WorkerTime(486'000);
        return {WorkerId("w-1"), {"10.0.0.9", 80}, FencingToken(7), start};
    }

    AcceptedJob acceptedJob() const
    {
        AcceptedJob job;
        job.spec.id = JobId(id_);
        job.spec.payload = "text";
        StepSpec step;
        step.gang = true;
        step.need.processors = Millicores(500);
        job.spec.steps = {step};
        job.queue.id = QueueId("q");
        job.queue.approval = ApprovalSettings {Milliseconds(10), 150, Milliseconds(2500)};
        return job;
    }

    const std::string id_ = "5c0e7a21d94b36f8";
    PlatformProtocol protocol_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformProtocolTest);

} // namespace caraway::tests
