#include "TreeCodec.h"

#include "platform/PlatformProtocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace caraway::tests {

using namespace cell;
using platform::PlatformProtocol;

namespace {

WorkerRequest request(decltype(WorkerRequest::command) command)
{
    return {WorkerId("w-1"), {"10.0.0.9", 8080}, FencingToken(7), std::move(command)};
}

} // namespace

/// Requests are written without JSON trees, as the same bytes as with them.
class RequestEncodingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestEncodingTest);
    CPPUNIT_TEST(request_withAnyText_isEncodedAsByTree);
    CPPUNIT_TEST(request_withAnyNumbers_isEncodedAsByTree);
    CPPUNIT_TEST(commit_withAnyRecord_isEncodedAsByTree);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_withAnyText_isEncodedAsByTree()
    {
        std::vector<std::string> texts
                = {"",     "plain", "\"quoted\\\"", "caf\xc3\xa9",  "\xf0\x9f\x98\x80",    "/",
                   "\x7f", "\xff",  "\xc3",         "\xed\xa0\x80", std::string("a\0b", 3)};
        for (int c = 0; c < 256; ++c)
            texts.push_back(std::string("<") + static_cast<char>(c) + ">");
        for (const std::string &text : texts) {
            const TaskKey task {JobId(text), Occurrence(0), StepIndex(1), TaskIndex(17)};
            assertEncodedAsByTree(
                    request(WorkerStart {task_, RunNumber(2), text, WorkerTime(5), {}, {}}));
            assertEncodedAsByTree(
                    request(WorkerStart {task_, RunNumber(2), {}, WorkerTime(5), text, {}}));
            assertEncodedAsByTree(
                    request(WorkerStart {task_, RunNumber(2), {}, WorkerTime(5), {}, text}));
            assertEncodedAsByTree(
                    request(WorkerStart {task, RunNumber(2), {}, WorkerTime(5), {}, {}}));
            assertEncodedAsByTree(request(WorkerStop {task, RunNumber(2)}));
            const StepKey step {JobId(text), Occurrence(0), StepIndex(1)};
            assertEncodedAsByTree(ApprovalRequest {step, {}});
            assertEncodedAsByTree(ApprovalRequest {step_, {WorkerId(text)}});
            assertEncodedAsByTree(ApprovalRequest {step_, {WorkerId("w-1"), WorkerId(text)}});
        }
    }

    void request_withAnyNumbers_isEncodedAsByTree()
    {
        constexpr auto maxUnsigned = std::numeric_limits<std::uint64_t>::max();
        constexpr auto maxSigned = std::numeric_limits<std::int64_t>::max();
        constexpr auto minSigned = std::numeric_limits<std::int64_t>::min();
        for (const std::uint64_t number : {std::uint64_t(0), std::uint64_t(57), maxUnsigned}) {
            assertEncodedAsByTree(request(WorkerStop {task_, RunNumber(number)}));
            for (const std::int64_t time : {minSigned, std::int64_t(-1), std::int64_t(0),
                                            std::int64_t(1), std::int64_t(486'000), maxSigned}) {
                for (const std::int64_t wait : {std::int64_t(0), std::int64_t(1000), maxSigned}) {
                    WorkerRequest heartbeat = request(WorkerHeartbeat {
                            CompletionNumber(number), WorkerTime(time), Milliseconds(wait)});
                    heartbeat.token = FencingToken(number);
                    assertEncodedAsByTree(heartbeat);
                }
                assertEncodedAsByTree(request(
                        WorkerStart {task_, RunNumber(number), "text", WorkerTime(time), {}, {}}));
            }
        }
    }

    void commit_withAnyRecord_isEncodedAsByTree()
    {
        StoreCommit commit;
        assertEncodedAsByTree(commit);
        commit.require({RecordType::Jobs, "5c0e7a21d94b36f8"}, Revision());
        assertEncodedAsByTree(commit);
        commit.write({RecordType::Cancels, "5c0e7a21d94b36f8"}, CancelRecord {WallTime(5)});
        commit.write({RecordType::HolderLease, {}}, CancelRecord {}, LeaseId(7));
        assertEncodedAsByTree(commit);
        commit.require({RecordType::Results, "\xc3\xa9\"\n"}, Revision(12));
        commit.deletes = {{RecordType::Progress, "a"}, {RecordType::Progress, "b\\"}};
        assertEncodedAsByTree(commit);
        commit.deletes = {{RecordType::Progress, "\xff"}};
        assertEncodedAsByTree(commit);
    }

private:
    template<class Encode>
    static std::string encodedOrRefused(Encode encode)
    {
        try {
            return encode();
        } catch (const std::exception &) {
            return "refused";
        }
    }

    void assertEncodedAsByTree(const WorkerRequest &call)
    {
        CPPUNIT_ASSERT_EQUAL(encodedOrRefused([&] { return encodeWorkerByTree(call); }),
                             encodedOrRefused([&] { return protocol_.encodeWorker(call).body; }));
    }
    void assertEncodedAsByTree(const StoreCommit &commit)
    {
        CPPUNIT_ASSERT_EQUAL(encodedOrRefused([&] { return encodeCommitByTree(commit); }),
                             encodedOrRefused([&] { return protocol_.encodeStore(commit).body; }));
    }
    void assertEncodedAsByTree(const ApprovalRequest &call)
    {
        CPPUNIT_ASSERT_EQUAL(encodedOrRefused([&] { return encodeApprovalByTree(call); }),
                             encodedOrRefused([&] { return protocol_.encodeApproval(call).body; }));
    }

    PlatformProtocol protocol_;
    const TaskKey task_ {JobId("5c0e7a21d94b36f8"), Occurrence(0), StepIndex(1), TaskIndex(17)};
    const StepKey step_ {JobId("5c0e7a21d94b36f8"), Occurrence(0), StepIndex(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestEncodingTest);

} // namespace caraway::tests
