#include "TreeCodec.h"

#include "Messages/CellCodec.h"
#include "platform/JsonDocument.h"
#include "platform/PlatformProtocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <openssl/evp.h>

#include <random>

namespace caraway::tests {

using namespace cell;
using platform::JsonDocument;
using platform::JsonValue;
using platform::PlatformProtocol;
using Json = nlohmann::json;
using namespace std::string_view_literals;

namespace {

std::string describe(const TaskKey &task)
{
    return fmt::format("{}/{}/{}/{}", task.job.value(), task.occurrence.value(), task.step.value(),
                       task.index.value());
}

/// Every field of the reply.
std::string describe(const WorkerReply &reply)
{
    std::string text = fmt::format(
            "{} clock {} born {}", nameOf(reply.outcome), reply.clock ? reply.clock->count() : -1,
            reply.incarnation ? std::to_string(reply.incarnation->value()) : std::string("none"));
    for (const RunningTask &task : reply.running) {
        text += fmt::format("; runs {} {} <{}> {}", describe(task.task), task.run.value(),
                            task.checkpoint, task.progress.count());
    }
    for (const CompletedRun &run : reply.completed) {
        text += fmt::format("; ended {} {} {} {} <{}>", run.number.value(), describe(run.task),
                            run.run.value(), static_cast<int>(run.reason), run.checkpoint);
    }
    return text;
}

std::string describe(const WorkerEntry &entry)
{
    std::string text = fmt::format("entry {} {} {} {}:{} {} {} {} {} {} {} {}", entry.id.value(),
                                   entry.incarnation.value(), entry.upstream.value(),
                                   entry.address.host, entry.address.port, entry.zone.value(),
                                   entry.draining, entry.remaining ? entry.remaining->count() : -1,
                                   entry.reportedAt ? entry.reportedAt->count() : -1,
                                   entry.capacity.processors.count(), entry.capacity.memory.count(),
                                   entry.capacity.accelerators.count());
    for (const Label &label : entry.labels)
        text += " " + label.value();
    return text;
}

std::string describe(const CellConfiguration &configuration)
{
    std::string text = fmt::format("configuration {}", configuration.version.value());
    for (const Queue &queue : configuration.queues) {
        AcceptedJob job;
        job.queue = queue;
        text += fmt::format("; {} {} {} {}", queue.host, queue.prefix, queue.timeout.count(),
                            encodeRecord(job));
    }
    for (const UpstreamId &upstream : configuration.upstreams) {
        text += fmt::format(" {} {}", upstream.value(),
                            configuration.upstreamsRejectingOverload.contains(upstream));
    }
    return text;
}

std::string describe(const StoreItem &item)
{
    std::string text
            = fmt::format("{} {} {} {} {}: ", static_cast<int>(item.key.type), item.key.name,
                          item.revision.value(), item.deleted, item.value.index());
    if (const auto *malformed = std::get_if<Malformed>(&item.value))
        return text + malformed->reason;
    if (const auto *entry = std::get_if<WorkerEntry>(&item.value))
        return text + describe(*entry);
    if (const auto *configuration = std::get_if<CellConfiguration>(&item.value))
        return text + describe(*configuration);
    if (std::holds_alternative<std::monostate>(item.value))
        return text;
    return text + encodeRecord(item.value);
}

std::string describe(const StoreReply &reply)
{
    std::string text = fmt::format("{} {} {} {}", static_cast<int>(reply.outcome), reply.hasMore,
                                   reply.revision.value(), reply.lease.value());
    for (const StoreItem &item : reply.items)
        text += "; " + describe(item);
    return text;
}

std::string describe(const std::optional<JobSpec> &spec)
{
    if (!spec)
        return "malformed";
    AcceptedJob job;
    job.spec = *spec;
    return encodeRecord(job);
}

/// Whether both are the same value of the same type.
bool isEqual(JsonValue value, const Json &tree)
{
    switch (tree.type()) {
    case Json::value_t::null:
        return value.isNull();
    case Json::value_t::boolean:
        return value.isBoolean() && value.boolean() == tree.get<bool>();
    case Json::value_t::number_integer:
        return value.isNumber() && !value.isFloat() && !value.isUnsigned()
                && value.signedInteger() == tree.get<std::int64_t>();
    case Json::value_t::number_unsigned:
        return value.isUnsigned() && value.unsignedInteger() == tree.get<std::uint64_t>()
                && value.number() == tree.get<double>();
    case Json::value_t::number_float:
        return value.isFloat() && value.number() == tree.get<double>();
    case Json::value_t::string:
        return value.isText() && value.text() == tree.get<std::string>();
    default:
        break;
    }
    const std::vector<JsonValue> elements = value.elements();
    if (value.isArray() != tree.is_array() || value.isObject() != tree.is_object()
        || elements.size() != tree.size())
        return false;
    std::size_t position = 0;
    for (const auto &[name, child] : tree.items()) {
        const std::optional<JsonValue> same
                = tree.is_array() ? value.element(position) : value.find(name);
        if (!same || !isEqual(*same, child) || !isEqual(elements[position++], child))
            return false;
    }
    return true;
}

std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

WorkerRequest request(decltype(WorkerRequest::command) command)
{
    return {WorkerId("w-1"), {"10.0.0.9", 8080}, FencingToken(7), std::move(command)};
}

/// Random replies of workers, most of them well-formed, and changed ones.
class ReplyGenerator
{
public:
    explicit ReplyGenerator(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::string reply()
    {
        std::string body = "{";
        const int fields = below(8);
        for (int i = 0; i < fields; ++i) {
            body += i == 0 ? "" : ",";
            body += field();
        }
        return body + "}";
    }

    /// A reply of the store: a page of a list, changes of a watch, the outcome of a commit or one
    /// item, with entries of workers.
    std::string storeReply()
    {
        const std::string body = orOdd("4711");
        switch (below(4)) {
        case 0:
            return storeItem();
        case 1:
            return R"({"revision":)" + body + R"(,"lease":)" + orOdd("8") + "}";
        default: {
            const std::string rows = list(below(5), [&] { return orOdd(storeItem()); });
            return R"({"at":)" + body + R"(,"hasMore":)" + orOdd("true") + ","
                    + pick({R"("items":)", R"("events":)"}) + orOdd(rows) + "}";
        }
        }
    }

    /// Any value, most often not an object.
    std::string odd() { return value(4); }

    std::string submission()
    {
        std::string steps = list(below(4), [&] { return orOdd(step()); });
        return R"({"spec":)" + orOdd(text()) + R"(,"steps":)" + orOdd(steps) + R"(,"runCount":)"
                + orOdd("2") + R"(,"intervalMs":)" + orOdd("500") + "}";
    }

    /// Replaces, removes or inserts a few bytes, or cuts the text.
    std::string mutate(std::string text)
    {
        const int changes = 1 + below(3);
        for (int i = 0; i < changes && !text.empty(); ++i) {
            const std::size_t at = static_cast<std::size_t>(below(static_cast<int>(text.size())));
            switch (below(5)) {
            case 0:
                text[at] = byte();
                break;
            case 1:
                text.erase(at, 1 + static_cast<std::size_t>(below(4)));
                break;
            case 2:
                text.insert(at, 1, byte());
                break;
            case 3:
                text.insert(at, value(2));
                break;
            default:
                text.resize(at);
                break;
            }
        }
        return text;
    }

    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }

private:
    template<std::size_t Size>
    std::string pick(const char *const (&choices)[Size])
    {
        return choices[below(static_cast<int>(Size))];
    }

    bool rarely() { return below(12) == 0; }

    char byte()
    {
        static constexpr std::string_view likely
                = "{}[]\",:\\0123456789-+.eE \t\n\0tfnu\x7f\xc3\xff"sv;
        return likely[static_cast<std::size_t>(below(static_cast<int>(likely.size())))];
    }

    std::string number()
    {
        return pick({"0",
                     "1",
                     "41",
                     "5000",
                     "-1",
                     "-0",
                     "-0.4",
                     "0.5",
                     "1.5",
                     "-1e300",
                     "1e300",
                     "1e999",
                     "1e-999",
                     "1E2",
                     "10000000000000",
                     "10000000000001",
                     "1e13",
                     "9007199254740992",
                     "9007199254740993.0",
                     "9007199254740994.0",
                     "9223372036854775807",
                     "9223372036854775808",
                     "-9223372036854775808",
                     "-9223372036854775809",
                     "18446744073709551615",
                     "18446744073709551616",
                     "01",
                     "1.",
                     "+1",
                     "NaN"});
    }

    std::string text()
    {
        return pick({R"("")",
                     R"("done")",
                     R"("failed")",
                     R"("stopped")",
                     R"("lapsed")",
                     R"("broken")",
                     R"("alone")",
                     R"("fence")",
                     R"("old")",
                     R"("late")",
                     R"("room")",
                     R"("ticket")",
                     R"("a\"b\\c\/\n\u00e9\ud83d\ude00")",
                     R"("\ud800")",
                     R"("\u0000")",
                     "\"\xc3\xa9\"",
                     "\"\xff\"",
                     "\"\n\"",
                     R"("5c0e7a21d94b36f8.0.1.17")",
                     R"("x.1.2")",
                     R"(".0.0.0")",
                     R"("a.b.0.1.18446744073709551616")",
                     R"("a.1.2.+3")"});
    }

    std::string value(int nesting)
    {
        switch (below(nesting > 0 ? 8 : 6)) {
        case 0:
            return pick({"null", "true", "false"});
        case 1:
        case 2:
            return text();
        case 6:
            return list(below(4), [&] { return value(nesting - 1); });
        case 7: {
            std::string object = "{";
            const int fields = below(3);
            for (int i = 0; i < fields; ++i)
                object += (i == 0 ? "" : ",") + name() + ":" + value(nesting - 1);
            return object + "}";
        }
        default:
            return number();
        }
    }

    std::string name()
    {
        return pick({R"("clockMs")", R"("born")", R"("reason")", R"("running")", R"("finished")",
                     R"("other")", R"("running\u0000")", R"("\u0062orn")", R"("")"});
    }

    template<class Element>
    static std::string list(int size, Element element)
    {
        std::string text = "[";
        for (int i = 0; i < size; ++i) {
            text += i == 0 ? "" : ",";
            text += element();
        }
        return text + "]";
    }

    std::string orOdd(std::string usual) { return rarely() ? value(3) : std::move(usual); }

    std::string task()
    {
        return fmt::format(R"("5c0e7a21d94b36f8.{}.{}.{}")", below(2), below(9), below(999));
    }

    std::string running()
    {
        const std::vector<std::string> elements
                = {orOdd(task()), orOdd(std::to_string(below(9000))),
                   orOdd(text()), orOdd(std::to_string(below(101))),
                   orOdd("1.25"), value(3)};
        return row(elements, 5);
    }

    std::string completed()
    {
        const std::vector<std::string> elements = {orOdd(std::to_string(below(9000))),
                                                   orOdd(task()),
                                                   orOdd(std::to_string(below(9000))),
                                                   orOdd(text()),
                                                   orOdd(text()),
                                                   value(3)};
        return row(elements, 5);
    }

    std::string row(const std::vector<std::string> &elements, int usualSize)
    {
        int i = 0;
        const int size = rarely() ? below(static_cast<int>(elements.size()) + 1) : usualSize;
        return list(size, [&] { return elements[static_cast<std::size_t>(i++)]; });
    }

    std::string workerEntry()
    {
        std::string entry = R"({"service":)" + orOdd(R"("s")") + R"(,"address":)"
                + orOdd(R"("10.0.0.9:8080")") + R"(,"state":)"
                + orOdd(pick({R"("ready")", R"("draining")"})) + R"(,"zone":)" + orOdd(R"("z")")
                + R"(,"born":)" + orOdd("1764903600000") + R"(,"labels":)"
                + orOdd(list(below(3), [&] { return orOdd(R"("kind")"); }));
        if (below(2) == 0)
            entry += R"(,"remainingMs":)" + orOdd("7000.4") + R"(,"clockMs":)" + orOdd("5");
        return entry + R"(,"capacity":)"
                + orOdd(R"({"cpu":)" + orOdd("3199.6") + R"(,"memMb":)" + orOdd("1024")
                        + R"(,"gpus":)" + orOdd("0") + "}")
                + "}";
    }

    std::string storeItem()
    {
        const std::string entry = rarely() ? mutate(workerEntry()) : workerEntry();
        std::string item = R"({"key":)"
                + orOdd(pick({R"("servers/w-1")", R"("servers/w-2")", R"("other/x")"}))
                + R"(,"revision":)" + orOdd("12");
        if (rarely())
            item += R"(,"deleted":)" + orOdd("true");
        return item + R"(,"created":3,"lease":0,"value":)" + orOdd('"' + toBase64(entry) + '"')
                + "}";
    }

    std::string step()
    {
        return R"({"count":)" + orOdd("4") + R"(,"cpu":)" + orOdd("500.5") + R"(,"memMb":)"
                + orOdd("256") + R"(,"estimateMs":)" + orOdd("900") + R"(,"gang":)" + orOdd("true")
                + R"(,"after":)" + orOdd("[0,1]") + R"(,"image":)" + orOdd(text()) + "}";
    }

    std::string field()
    {
        switch (below(6)) {
        case 0:
            return R"("clockMs":)" + orOdd("482113");
        case 1:
            return R"("born":)" + orOdd("1764903600000");
        case 2:
            return R"("reason":)" + orOdd(text());
        case 3:
            return R"("running":)" + orOdd(list(below(5), [&] { return orOdd(running()); }));
        case 4:
            return R"("finished":)" + orOdd(list(below(5), [&] { return orOdd(completed()); }));
        default:
            return name() + ":" + value(4);
        }
    }

    std::mt19937_64 random_;
};

} // namespace

/// Messages are decoded without JSON trees, exactly as with them.
class MessageDecodingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageDecodingTest);
    CPPUNIT_TEST(reply_random_isDecodedAsByTree);
    CPPUNIT_TEST(reply_mutated_isDecodedAsByTree);
    CPPUNIT_TEST(reply_truncatedAnywhere_isDecodedAsByTree);
    CPPUNIT_TEST(reply_withARepeatedField_isDecodedAsByTree);
    CPPUNIT_TEST(reply_nestedToAnyDepth_isDecodedAsByTree);
    CPPUNIT_TEST(document_ofAnyText_equalsTheTree);
    CPPUNIT_TEST(storeReply_randomOrMutated_isDecodedAsByTree);
    CPPUNIT_TEST(submission_randomOrMutated_isDecodedAsByTree);
    CPPUNIT_TEST_SUITE_END();

public:
    void reply_random_isDecodedAsByTree()
    {
        ReplyGenerator generator(1);
        int wellFormed = 0;
        for (int i = 0; i < cases; ++i) {
            if (assertDecodedAsByTree(generator.reply()))
                ++wellFormed;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(wellFormed),
                               wellFormed > cases / 10 && wellFormed < cases * 9 / 10);
    }

    void reply_mutated_isDecodedAsByTree()
    {
        ReplyGenerator generator(2);
        for (int i = 0; i < cases; ++i)
            assertDecodedAsByTree(generator.mutate(generator.reply()));
        for (int i = 0; i < cases; ++i)
            assertDecodedAsByTree(generator.mutate(wellFormed_));
    }

    void reply_truncatedAnywhere_isDecodedAsByTree()
    {
        for (std::size_t size = 0; size <= wellFormed_.size(); ++size)
            assertDecodedAsByTree(wellFormed_.substr(0, size));
        CPPUNIT_ASSERT(assertDecodedAsByTree(wellFormed_));
        for (const std::string suffix : {" ", "\n", "x", "{}", "]", "}"})
            assertDecodedAsByTree(wellFormed_ + suffix);
        assertDecodedAsByTree("\xef\xbb\xbf" + wellFormed_);
    }

    void reply_withARepeatedField_isDecodedAsByTree()
    {
        const std::vector<std::string> values = {"5",
                                                 "6.5",
                                                 R"("old")",
                                                 "null",
                                                 "[]",
                                                 "{}",
                                                 "[5]",
                                                 "[[]]",
                                                 R"([["a.0.0.1",2,"",3]])",
                                                 "true",
                                                 "1e99",
                                                 "[{}]",
                                                 R"([[1,"a.0.0.1",2,"done",""]])"};
        for (const std::string field : {"clockMs", "born", "reason", "running", "finished"}) {
            for (const std::string &first : values) {
                for (const std::string &second : values) {
                    assertDecodedAsByTree(fmt::format(R"({{"clockMs":1,"{0}":{1},"{0}":{2}}})",
                                                      field, first, second));
                }
            }
        }
    }

    void reply_nestedToAnyDepth_isDecodedAsByTree()
    {
        for (std::size_t depth = 0; depth < 40; ++depth) {
            const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
            for (const std::string field : {"clockMs", "running", "finished", "other"})
                assertDecodedAsByTree(fmt::format(R"({{"clockMs":1,"{}":{}}})", field, arrays));
            assertDecodedAsByTree(fmt::format(R"({{"clockMs":1,"running":[["a.0.0.1",2,"",{}]]}})",
                                              arrays.empty() ? "1" : arrays));
            assertDecodedAsByTree(arrays);
        }
        assertDecodedAsByTree(std::string(2'000'000, '['));
    }

    void document_ofAnyText_equalsTheTree()
    {
        ReplyGenerator generator(3);
        for (int i = 0; i < cases; ++i) {
            const std::string text = generator.reply();
            assertEqualsTree(text);
            assertEqualsTree(generator.mutate(text));
            assertEqualsTree(generator.odd());
        }
    }

    void storeReply_randomOrMutated_isDecodedAsByTree()
    {
        ReplyGenerator generator(4);
        int used = 0;
        for (int i = 0; i < cases; ++i) {
            const std::string body = generator.storeReply();
            used += assertStoreDecodedAsByTree(body) ? 1 : 0;
            assertStoreDecodedAsByTree(generator.mutate(body));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used > cases / 10);
    }

    void submission_randomOrMutated_isDecodedAsByTree()
    {
        ReplyGenerator generator(5);
        int accepted = 0;
        for (int i = 0; i < cases; ++i) {
            const std::string body = generator.submission();
            accepted += assertJobDecodedAsByTree(body) ? 1 : 0;
            assertJobDecodedAsByTree(generator.mutate(body));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(accepted), accepted > cases / 10);
    }

private:
    static constexpr int cases = 20'000;

    /// Returns whether the body is a well-formed reply to a heartbeat.
    bool assertDecodedAsByTree(const std::string &body)
    {
        WorkerOutcome ofHeartbeat = WorkerOutcome::Unanswered;
        for (const WorkerRequest &call : {request(WorkerHeartbeat {}), request(WorkerStop {})}) {
            for (const int status : {200, 409}) {
                const HttpResponse response {HttpOutcome::Answered, status, body};
                const WorkerReply expected = decodeWorkerByTree(call, response);
                const WorkerReply decoded = protocol_.decodeWorker(call, HttpResponse(response));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(body, describe(expected), describe(decoded));
                if (status == 200 && std::holds_alternative<WorkerHeartbeat>(call.command))
                    ofHeartbeat = decoded.outcome;
            }
        }
        return ofHeartbeat == WorkerOutcome::Done;
    }

    static void assertEqualsTree(const std::string &text)
    {
        constexpr int maxNesting = 100;
        const Json tree = Json::parse(text, nullptr, false);
        const JsonDocument document(text, maxNesting);
        CPPUNIT_ASSERT_MESSAGE(
                text, isEqual(document.root(), tree.is_discarded() ? Json(nullptr) : tree));
    }

    /// Returns whether the reply contains a worker's entry.
    bool assertStoreDecodedAsByTree(const std::string &body)
    {
        bool containsEntry = false;
        const std::vector<StoreRequest> calls
                = {StoreGet {{RecordType::Workers, "w-1"}}, StoreList {RecordType::Workers, {}},
                   StoreWatch {RecordType::Workers, Revision(4), Milliseconds(1)}, StoreCommit {}};
        for (const StoreRequest &call : calls) {
            for (const int status : {200, 412}) {
                const HttpResponse response {HttpOutcome::Answered, status, body};
                const StoreReply expected = decodeStoreByTree(call, response);
                const StoreReply decoded = protocol_.decodeStore(call, HttpResponse(response));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(body, describe(expected), describe(decoded));
                for (const StoreItem &item : decoded.items)
                    containsEntry |= std::holds_alternative<WorkerEntry>(item.value);
            }
        }
        return containsEntry;
    }

    /// Returns whether the submission is well-formed.
    bool assertJobDecodedAsByTree(const std::string &body)
    {
        const std::string id = "5c0e7a21d94b36f8";
        const auto decoded = protocol_.decodeCaller(
                CallerRequestId(1), HttpRequest {"POST", "/q/" + id, "host", {}, body});
        std::optional<JobSpec> spec;
        if (const auto *call = std::get_if<CallerRequest>(&decoded))
            spec = std::get<SubmitJob>(call->body).spec;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, describe(decodeJobByTree(JobId(id), body)),
                                     describe(spec));
        return spec.has_value();
    }

    PlatformProtocol protocol_;
    const std::string wellFormed_
            = R"({"born":1764903600000,"clockMs":482113,"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,)"
              R"("done",""],[59,"5c0e7a21d94b36f8.0.1.8",2,"lapsed","00000bb8"]],"reason":"old",)"
              R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,1.25],)"
              R"(["5c0e7a21d94b36f8.0.1.18",4097,"",0,0]]})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageDecodingTest);

} // namespace caraway::tests
