#include "platform/PlatformProtocol.h"
#include "Messages/CellCodec.h"
#include "Messages/CellFrameCodec.h"
#include "platform/PlatformJson.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <openssl/evp.h>

#include <map>

namespace caraway::tests {

using namespace cell;
using Json = nlohmann::json;
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
    CPPUNIT_TEST(startReply_withAStatusThatTellsNothing_isUnanswered);
    CPPUNIT_TEST(reply_withRunsAndCompletions_isDecoded);
    CPPUNIT_TEST(reply_malformed_isUnanswered);
    CPPUNIT_TEST(commit_encodedAndReadBack_preservesTheRecord);
    CPPUNIT_TEST(conflict_decoded_containsTheCurrentRevisions);
    CPPUNIT_TEST(watch_withDeletion_isDecoded);
    CPPUNIT_TEST(workerEntry_withInvalidValue_isMalformed);
    CPPUNIT_TEST(workerEntry_ofALeavingWorker_containsWhenItLeaves);
    CPPUNIT_TEST(workerEntry_wellFormed_isDecoded);
    CPPUNIT_TEST(workerEntry_withANumberOutOfRange_isMalformed);
    CPPUNIT_TEST(workerEntry_withANumberThatIsNotJson_isMalformed);
    CPPUNIT_TEST(workerEntry_withALargeCapacity_isDecodedExactly);
    CPPUNIT_TEST(workerEntry_withAnInvalidPort_isMalformed);
    CPPUNIT_TEST(workerEntry_withAnInvalidField_isMalformed);
    CPPUNIT_TEST(workerEntry_withAnInvalidName_isMalformed);
    CPPUNIT_TEST(workerEntry_nestedTooDeeply_isMalformed);
    CPPUNIT_TEST(workerEntry_truncated_isMalformed);
    CPPUNIT_TEST(workerEntry_withARepeatedField_hasItsLastValue);
    CPPUNIT_TEST(workerEntry_withOverlongTextOrList_isMalformed);
    CPPUNIT_TEST(list_withOneOddRow_keepsTheOthers);
    CPPUNIT_TEST(watch_withOneOddRow_keepsTheOthers);
    CPPUNIT_TEST(storeReply_nestedDeeply_isUnanswered);
    CPPUNIT_TEST(get_withoutAnItem_isUnanswered);
    CPPUNIT_TEST(record_nestedTooDeeply_isMalformed);
    CPPUNIT_TEST(heartbeatReply_ofAnotherServer_isUnanswered);
    CPPUNIT_TEST(heartbeatReply_withANumberOutOfRange_isUnanswered);
    CPPUNIT_TEST(heartbeatReply_withAnOddPercentage_keepsTheRun);
    CPPUNIT_TEST(submission_withANumberOutOfRange_isAnsweredAsInvalid);
    CPPUNIT_TEST(deadline_beyondAnyTimeout_isShortened);
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

    /// Guards against a second run beside one whose start was carried out in spite of its answer.
    void startReply_withAStatusThatTellsNothing_isUnanswered()
    {
        for (const int status : {500, 502, 504, 404, 302}) {
            CPPUNIT_ASSERT(protocol_.decodeWorker(start(), answered(status, {})).outcome
                           == WorkerOutcome::Unanswered);
        }
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
        const WorkerEntry announced = decodeEntry(json);
        CPPUNIT_ASSERT(announced.remaining == Milliseconds(7000));
        CPPUNIT_ASSERT(announced.reportedAt == WorkerTime(482113));
        json.erase("remainingMs");
        json.erase("clockMs");
        const WorkerEntry unannounced = decodeEntry(json);
        CPPUNIT_ASSERT(!unannounced.remaining && !unannounced.reportedAt);
    }

    void workerEntry_wellFormed_isDecoded()
    {
        const auto value = workerValue(entryWith({}));
        const auto &entry = std::get<WorkerEntry>(value);
        CPPUNIT_ASSERT_EQUAL(std::string("w-1"), entry.id.value());
        CPPUNIT_ASSERT(entry.incarnation == WorkerIncarnation(1'764'903'600'000));
        CPPUNIT_ASSERT(entry.address == (Address {"10.1.0.7", 8000}));
        CPPUNIT_ASSERT(entry.capacity.processors == Millicores(8000));
        CPPUNIT_ASSERT(entry.capacity.memory == Bytes(std::int64_t(16'384) << 20));
        CPPUNIT_ASSERT(entry.draining && entry.remaining == Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.labels.size());
    }

    void workerEntry_withANumberOutOfRange_isMalformed()
    {
        const std::vector<std::string> outOfRange = {"-1",
                                                     "-0.6",
                                                     "-9223372036854775808",
                                                     "9223372036854775807",
                                                     "9223372036854775808",
                                                     "18446744073709551615",
                                                     "18446744073709551616",
                                                     "1e18",
                                                     "1e300",
                                                     "-1e300",
                                                     R"("5")",
                                                     "true",
                                                     "[5]",
                                                     "{}"};
        for (const std::string &number : outOfRange) {
            assertMalformed({{"born", number}}, "born");
            assertMalformed({{"remainingMs", number}}, "remainingMs");
            for (const std::string field : {"cpu", "memMb", "gpus"})
                assertMalformed({{"capacity", fmt::format(R"({{"{}":{}}})", field, number)}},
                                field);
        }
    }

    void workerEntry_withANumberThatIsNotJson_isMalformed()
    {
        for (const std::string number : {"1e999", "NaN", "Infinity", "0x10", "1.", "--1"})
            assertMalformed({{"born", number}}, "JSON");
    }

    void workerEntry_withALargeCapacity_isDecodedExactly()
    {
        const auto value
                = workerValue(entryWith({{"capacity", R"({"cpu":1e6,"memMb":1048576,"gpus":8})"}}));
        const auto &entry = std::get<WorkerEntry>(value);
        CPPUNIT_ASSERT(entry.capacity.processors == Millicores(1'000'000));
        CPPUNIT_ASSERT(entry.capacity.memory == Bytes(std::int64_t(1) << 40));
    }

    void workerEntry_withAnInvalidPort_isMalformed()
    {
        for (const std::string port :
             {":0", ":-1", ":65536", ":1000000000", ":http", ":", "", ":+80", ": 80", ":80 ",
              ":80.5", ":8e1", ":99999999999999999999"})
            assertMalformed({{"address", R"("10.1.0.7)" + port + "\""}}, "address");
    }

    void workerEntry_withAnInvalidField_isMalformed()
    {
        for (const std::string field : {"service", "address", "state", "capacity"}) {
            for (const std::string value :
                 {"", "null", "5", "-1.5", "true", "[]", "[1]", R"({"a":{}})"}) {
                if (field != "capacity" || value[0] != '{')
                    assertMalformed({{field, value}}, field);
            }
        }
        assertMalformed({{"state", R"("ended")"}}, "state");
        assertMalformed({{"state", R"("")"}}, "state");
        assertMalformed({{"zone", "5"}}, "zone");
        for (const std::string labels :
             {R"("kind")", "5", "true", R"({"a":"b"})", "[5]", "[null]", R"(["kind",["rack"]])"})
            assertMalformed({{"labels", labels}}, "labels");
    }

    void workerEntry_withAnInvalidName_isMalformed()
    {
        for (const std::string text :
             {"", R"(a\nevent=x)", R"(\r\n\r\n)", R"(a\u0000b)", R"(\u007f)"}) {
            assertMalformed({{"service", '"' + text + '"'}}, "service");
            assertMalformed({{"address", '"' + text + ":80\""}}, "address");
            assertMalformed({{"labels", R"([")" + text + "\"]"}}, "labels");
        }
        assertMalformed({{"zone", R"("a\nb")"}}, "zone");
        assertMalformed({{"service", "\"\xC3\x28\""}}, "");
        for (const std::string name : {"", "a\r\nHost: b", "\x01"}) {
            const Json item = {{"key", "servers/" + name},
                               {"value", toBase64(entryWith({}))},
                               {"revision", 3}};
            const StoreReply reply = protocol_.decodeStore(
                    StoreList {RecordType::Workers, {}},
                    answered(200, Json({{"items", Json::array({item})}, {"at", 5}}).dump()));
            CPPUNIT_ASSERT(std::holds_alternative<Malformed>(reply.items.at(0).value));
        }
    }

    void workerEntry_nestedTooDeeply_isMalformed()
    {
        for (const std::size_t depth : {40, 100'000, 2'000'000}) {
            for (const std::string field : {"service", "capacity", "labels", "other"}) {
                assertMalformed({{field, std::string(depth, '[') + std::string(depth, ']')}}, "");
                assertMalformed({{field, std::string(depth, '[')}}, "");
            }
            std::string objects;
            for (std::size_t i = 0; i < depth; ++i)
                objects += R"({"a":)";
            assertMalformed({{"capacity", objects}}, "");
        }
    }

    void workerEntry_truncated_isMalformed()
    {
        const std::string entry = entryWith({});
        for (std::size_t size = 0; size < entry.size(); ++size)
            CPPUNIT_ASSERT(std::holds_alternative<Malformed>(workerValue(entry.substr(0, size))));
    }

    void workerEntry_withARepeatedField_hasItsLastValue()
    {
        const RecordValue value = workerValue(entryWith({{"service", R"("t","service":"u")"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("u"), std::get<WorkerEntry>(value).upstream.value());
        assertMalformed({{"born", R"(5,"born":-1)"}}, "born");
    }

    void workerEntry_withOverlongTextOrList_isMalformed()
    {
        const std::string text(1 << 20, 'x');
        assertMalformed({{"service", '"' + text + '"'}}, "service");
        assertMalformed({{"zone", '"' + text + '"'}}, "zone");
        assertMalformed({{"address", '"' + text + ":80\""}}, "address");
        assertMalformed({{"labels", R"([")" + text + "\"]"}}, "labels");
        std::string labels = R"(["a")";
        for (int i = 0; i < 100'000; ++i)
            labels += R"(,"a")";
        assertMalformed({{"labels", labels + "]"}}, "labels");
    }

    void list_withOneOddRow_keepsTheOthers()
    {
        for (const Json &odd : oddRows()) {
            const Json body = {{"items", Json::array({row("w-1"), odd, row("w-2")})}, {"at", 9}};
            const StoreReply reply = protocol_.decodeStore(StoreList {RecordType::Workers, {}},
                                                           answered(200, body.dump()));
            assertKeepsBoth(reply, odd.dump());
        }
    }

    void watch_withOneOddRow_keepsTheOthers()
    {
        for (const Json &odd : oddRows()) {
            const Json body = {{"events", Json::array({row("w-1"), odd, row("w-2")})}, {"at", 9}};
            const StoreReply reply = protocol_.decodeStore(
                    StoreWatch {RecordType::Workers, Revision(4), Milliseconds(1)},
                    answered(200, body.dump()));
            assertKeepsBoth(reply, odd.dump());
        }
    }

    void storeReply_nestedDeeply_isUnanswered()
    {
        for (const std::string &body :
             {std::string(2'000'000, '['),
              R"({"at":5,"items":[],"x":)" + std::string(100, '[') + std::string(100, ']') + "}"}) {
            const StoreReply reply = protocol_.decodeStore(StoreList {RecordType::Workers, {}},
                                                           answered(200, body));
            CPPUNIT_ASSERT(reply.outcome == StoreOutcome::Unanswered);
        }
    }

    void get_withoutAnItem_isUnanswered()
    {
        for (const std::string body : {"[]", "5", "null", R"({"key":"other/x","revision":5})"}) {
            const StoreReply reply = protocol_.decodeStore(
                    StoreGet {{RecordType::CommitSequence, {}}}, answered(200, body));
            CPPUNIT_ASSERT(reply.outcome == StoreOutcome::Unanswered);
        }
    }

    void record_nestedTooDeeply_isMalformed()
    {
        const std::string arrays(2'000'000, '\x81');
        const RecordValue value = decodeRecord(RecordType::Roster, arrays);
        CPPUNIT_ASSERT(std::holds_alternative<Malformed>(value));
    }

    /// Another server at the address of a worker entry counted as a worker that runs nothing, and
    /// received tasks.
    void heartbeatReply_ofAnotherServer_isUnanswered()
    {
        for (const std::string body :
             {"", "{}", "[]", "null", "5", "\"text\"", R"({"clockMs":null})",
              R"({"clockMs":5,"running":5,"finished":[]})",
              R"({"clockMs":5,"running":{},"finished":[]})", R"({"running":[],"finished":[]})",
              R"({"clockMs":5,"running":[5],"finished":[]})"}) {
            const WorkerReply reply = protocol_.decodeWorker(heartbeat(), answered(200, body));
            CPPUNIT_ASSERT_MESSAGE(body, reply.outcome == WorkerOutcome::Unanswered);
        }
        const WorkerReply reply = protocol_.decodeWorker(
                heartbeat(), answered(200, R"({"clockMs":5,"running":[],"finished":[]})"));
        CPPUNIT_ASSERT(reply.outcome == WorkerOutcome::Done && reply.clock == WorkerTime(5));
    }

    void heartbeatReply_withANumberOutOfRange_isUnanswered()
    {
        for (const std::string number : {"-1", "9223372036854775807", "18446744073709551615",
                                         "1e18", "1e300", "\"5\"", "true"}) {
            const std::vector<std::string> bodies = {
                    R"({"clockMs":)" + number + R"(,"running":[],"finished":[]})",
                    R"({"clockMs":5,"born":)" + number + R"(,"running":[],"finished":[]})",
                    R"({"clockMs":5,"running":[[")" + id_ + R"(.0.1.17",)" + number
                            + R"(,"",41]],"finished":[]})",
                    R"({"clockMs":5,"running":[],"finished":[[)" + number + ",\"" + id_
                            + R"(.0.1.17",2,"done",""]]})",
                    R"({"clockMs":5,"running":[],"finished":[[1,")" + id_ + R"(.0.1.17",)" + number
                            + R"(,"done",""]]})",
            };
            for (const std::string &body : bodies) {
                // Run and completion numbers use the whole range of 63 bits.
                if (number == "9223372036854775807" && body.find("[[") != std::string::npos)
                    continue;
                const WorkerReply reply = protocol_.decodeWorker(heartbeat(), answered(200, body));
                CPPUNIT_ASSERT_MESSAGE(body, reply.outcome == WorkerOutcome::Unanswered);
            }
        }
    }

    void heartbeatReply_withAnOddPercentage_keepsTheRun()
    {
        const std::vector<std::pair<std::string, std::int64_t>> percentages
                = {{"1e300", 100}, {"-1e300", 0}, {"18446744073709551615", 100},
                   {"-1", 0},      {"41.7", 41},  {"null", 0},
                   {"\"41\"", 0}};
        for (const auto &[text, expected] : percentages) {
            const WorkerReply reply = protocol_.decodeWorker(
                    heartbeat(),
                    answered(200,
                             R"({"clockMs":5,"running":[[")" + id_ + R"(.0.1.17",2,"save",)" + text
                                     + R"(]],"finished":[]})"));
            CPPUNIT_ASSERT_MESSAGE(text, reply.outcome == WorkerOutcome::Done);
            CPPUNIT_ASSERT_EQUAL(expected, reply.running.at(0).progress.count());
        }
    }

    void submission_withANumberOutOfRange_isAnsweredAsInvalid()
    {
        const std::vector<std::string> bodies = {
                R"({"steps":[{"count":9223372036854775807},{"count":9223372036854775807},{"count":3}]})",
                R"({"steps":[{"count":1e300}]})",
                R"({"steps":[{"count":18446744073709551615}]})",
                R"({"steps":[{"cpu":-1}]})",
                R"({"steps":[{"cpu":1e300}]})",
                R"({"steps":[{"memMb":9223372036854775807}]})",
                R"({"steps":[{"estimateMs":9223372036854775807},{"estimateMs":5,"after":[0]}]})",
                R"({"steps":[{"estimateMs":-5}]})",
                R"({"steps":[{},{"after":[-1]}]})",
                R"({"steps":[{},{"after":[1e300]}]})",
                R"({"steps":[{}],"runCount":9223372036854775807})",
                R"({"steps":[{}],"runCount":2,"intervalMs":9223372036854775807})",
                R"({"steps":[{}],"runCount":2,"startTimeMs":9223372036854775807})"};
        for (const std::string &body : bodies) {
            const auto decoded = decode("POST", "/q/" + id_, body);
            CPPUNIT_ASSERT_MESSAGE(body, std::holds_alternative<HttpReply>(decoded));
            CPPUNIT_ASSERT_EQUAL(400, std::get<HttpReply>(decoded).status);
        }
    }

    void deadline_beyondAnyTimeout_isShortened()
    {
        HttpRequest request {
                "GET", "/q/" + id_, "host", {{"deadline-ms", "9223372036854775807"}}, {}};
        const auto decoded = protocol_.decodeCaller(CallerRequestId(1), std::move(request));
        const Milliseconds timeout = std::get<CallerRequest>(decoded).timeout.value();
        CPPUNIT_ASSERT(timeout > Milliseconds() && timeout.count() < std::int64_t(1) << 40);
    }

    void configuration_decoded_containsQueueSettings()
    {
        const CellConfiguration configuration = platform::decodeConfiguration(
                platform::parseObject(
                        R"({"version":7,"routes":[{"name":"r","hostname":"host","prefix":"/q/",)"
                        R"("timeoutMs":3000,"targetDurationMs":250,"priority":0,"service":"s",)"
                        R"("maxAttempts":4,"stretch":1.5,"advice":{"decisionMs":10.0,"perWorkerMs":0.15,)"
                        R"("validityMs":2500}}],"services":[{"name":"s","rejectsOverload":true}]})")
                        .root());
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
        update.number = StateUpdateNumber(7);
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
    using Fields = std::map<std::string, std::string>;

    /// The JSON text of a well-formed worker entry with fields replaced, or removed when their new
    /// text is empty.
    static std::string entryWith(const Fields &replaced)
    {
        Fields fields = {{"service", R"("s")"},
                         {"address", R"("10.1.0.7:8000")"},
                         {"zone", R"("z")"},
                         {"state", R"("draining")"},
                         {"remainingMs", "5000"},
                         {"born", "1764903600000"},
                         {"capacity", R"({"cpu":8000,"memMb":16384,"gpus":0})"},
                         {"labels", R"(["kind","rack"])"}};
        for (const auto &[field, text] : replaced)
            fields[field] = text;
        std::string entry;
        for (const auto &[field, text] : fields) {
            if (!text.empty())
                entry += fmt::format(R"({}"{}":{})", entry.empty() ? "" : ",", field, text);
        }
        return "{" + entry + "}";
    }

    static WorkerEntry decodeEntry(const Json &json)
    {
        return platform::decodeWorkerEntry("w-1", platform::parseObject(json.dump()).root());
    }

    static std::string toBase64(const std::string &bytes)
    {
        std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                         reinterpret_cast<const unsigned char *>(bytes.data()),
                                         static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    RecordValue workerValue(const std::string &entry) const
    {
        const Json item = {{"key", "servers/w-1"}, {"value", toBase64(entry)}, {"revision", 3}};
        return protocol_
                .decodeStore(StoreGet {{RecordType::Workers, "w-1"}}, answered(200, item.dump()))
                .items.at(0)
                .value;
    }

    /// Asserts that the entry is malformed, for a reason that names \a field.
    void assertMalformed(const Fields &replaced, const std::string &field) const
    {
        const std::string entry = entryWith(replaced);
        const RecordValue value = workerValue(entry);
        CPPUNIT_ASSERT_MESSAGE(entry.substr(0, 300), std::holds_alternative<Malformed>(value));
        const std::string &reason = std::get<Malformed>(value).reason;
        CPPUNIT_ASSERT_MESSAGE(reason, !reason.empty() && reason.size() < 200);
        CPPUNIT_ASSERT_MESSAGE(reason, reason.find(field) != std::string::npos);
    }

    static Json row(const std::string &id)
    {
        return {{"key", "servers/" + id}, {"value", toBase64(entryWith({}))}, {"revision", 3}};
    }

    static std::vector<Json> oddRows()
    {
        std::vector<Json> rows = {{{"key", "other/x"}, {"value", ""}, {"revision", 3}}};
        for (const Json &value : {Json(nullptr), Json(5), Json("!"), Json("bm90"), Json("===="),
                                  Json::array(), Json::object()})
            rows.push_back({{"key", "servers/odd"}, {"value", value}, {"revision", 3}});
        rows.push_back({{"key", "servers/odd"}, {"revision", 3}});
        for (const Json &revision : {Json("x"), Json(-1), Json(1e300), Json::array()})
            rows.push_back({{"key", "servers/odd"}, {"value", "bm90"}, {"revision", revision}});
        rows.push_back({{"key", "servers/odd"}, {"revision", 3}, {"deleted", "yes"}});
        return rows;
    }

    static void assertKeepsBoth(const StoreReply &reply, const std::string &odd)
    {
        CPPUNIT_ASSERT_MESSAGE(odd, reply.outcome == StoreOutcome::Done);
        CPPUNIT_ASSERT_MESSAGE(odd, reply.items.size() >= 2);
        CPPUNIT_ASSERT(std::holds_alternative<WorkerEntry>(reply.items.front().value));
        CPPUNIT_ASSERT_EQUAL(std::string("w-2"), reply.items.back().key.name);
        CPPUNIT_ASSERT(std::holds_alternative<WorkerEntry>(reply.items.back().value));
    }

    static WorkerRequest heartbeat()
    {
        return {WorkerId("w-1"), {"10.0.0.9", 80}, FencingToken(7), WorkerHeartbeat {}};
    }

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
