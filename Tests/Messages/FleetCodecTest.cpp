#include "Messages/FleetCodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

/// The platform's instance list, into which other writers put entries too.
class FleetCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetCodecTest);
    CPPUNIT_TEST(list_wellFormed_isDecoded);
    CPPUNIT_TEST(list_withOneOddWorker_keepsTheOthers);
    CPPUNIT_TEST(list_withOneOddEntry_keepsTheOthers);
    CPPUNIT_TEST(list_nestedTooDeeply_isRefused);
    CPPUNIT_TEST(list_truncated_isRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void list_wellFormed_isDecoded()
    {
        const std::optional<InstanceList> list = decode(listOf(worker("w-1"), worker("w-2")));
        CPPUNIT_ASSERT(list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list->entries.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), list->workers.size());
        CPPUNIT_ASSERT(list->workers[0].endpoint == (Endpoint {"10.1.0.7", 8000}));
    }

    void list_withOneOddWorker_keepsTheOthers()
    {
        for (const std::string &odd : oddWorkers()) {
            const std::optional<InstanceList> list
                    = decode(listOf(worker("w-1") + "," + odd, worker("w-2")));
            CPPUNIT_ASSERT_MESSAGE(odd, list);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t(2), list->workers.size());
            CPPUNIT_ASSERT_EQUAL(std::string("w-1"), list->workers[0].id.value());
            CPPUNIT_ASSERT_EQUAL(std::string("w-2"), list->workers[1].id.value());
        }
    }

    void list_withOneOddEntry_keepsTheOthers()
    {
        for (const std::string odd :
             {"null", "5", "{}", R"({"id":"e-2","zone":"z","host":"h","caller_port":0})"}) {
            const std::optional<InstanceList> list
                    = decode(R"({"entries":[)" + entry() + "," + odd + R"(],"workers":[)"
                             + worker("w-1") + "]}");
            CPPUNIT_ASSERT_MESSAGE(odd, list);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), list->entries.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), list->workers.size());
        }
    }

    void list_nestedTooDeeply_isRefused()
    {
        for (const std::size_t depth : {200, 100'000, 2'000'000})
            CPPUNIT_ASSERT(!decode(listOf(worker("w-1"), std::string(depth, '['))));
    }

    void list_truncated_isRefused()
    {
        const std::string text = listOf(worker("w-1"), worker("w-2"));
        for (std::size_t size = 0; size < text.size(); ++size)
            CPPUNIT_ASSERT(!decode(text.substr(0, size)));
    }

private:
    static std::optional<InstanceList> decode(const std::string &text)
    {
        return recoverFrom(
                [&]() -> Result<std::optional<InstanceList>> {
                    BOOST_LEAF_AUTO(decoded, decodeInstanceList(text));
                    return std::optional(std::move(decoded.list));
                },
                [](const Error &) { return std::optional<InstanceList>(); });
    }

    static std::string entry()
    {
        return R"({"id":"e-1","zone":"z","host":"10.0.0.1","caller_port":80,"peer_port":81})";
    }

    static std::string worker(const std::string &id, const std::string &port = "8000",
                              const std::string &memory = "1073741824",
                              const std::string &more = {})
    {
        return R"({"id":")" + id + R"(","zone":"z","rack":"r","host":"10.1.0.7","port":)" + port
                + R"(,"capacity":{"processors_millicores":8000,"memory_bytes":)" + memory + "}"
                + more + "}";
    }

    static std::string listOf(const std::string &first, const std::string &second)
    {
        return R"({"entries":[)" + entry() + R"(],"workers":[)" + first + "," + second + "]}";
    }

    static std::vector<std::string> oddWorkers()
    {
        std::vector<std::string> odd = {"null", "5", "true", "[]", "{}", "\"text\"", worker("")};
        for (const std::string number :
             {"0", "-1", "65536", "1000000000", "1e300", "80.5", "\"80\"", "null",
              "9223372036854775807", "18446744073709551615", "[80]"})
            odd.push_back(worker("odd", number));
        for (const std::string number : {"-1", "9223372036854775807", "18446744073709551615",
                                         "1e300", "0.5", "\"5\"", "null", "{}"})
            odd.push_back(worker("odd", "8000", number));
        odd.push_back(worker("odd", "8000", "1", R"(,"state":"ended")"));
        odd.push_back(worker("odd", "8000", "1", R"(,"state":5)"));
        odd.push_back(worker("odd", "8000", "1", R"(,"unknown":5)"));
        odd.push_back(worker("odd", "8000", "1", R"(,"id":5)"));
        return odd;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCodecTest);

} // namespace caraway::tests
