#include "platform/PlatformJson.h"
#include "platform/PlatformProtocol.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Client accounts in the platform's messages, which call them tenants.
class ClientAccountDecodingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientAccountDecodingTest);
    CPPUNIT_TEST(key_inABearerHeader_isDecoded);
    CPPUNIT_TEST(key_inAnotherScheme_isNone);
    CPPUNIT_TEST(refusal_forAnUnknownKey_isUnauthorized);
    CPPUNIT_TEST(configuration_withTenants_hasAccounts);
    CPPUNIT_TEST(configuration_withoutTenants_hasNone);
    CPPUNIT_TEST(job_withVeryManySteps_isInvalid);
    CPPUNIT_TEST_SUITE_END();

public:
    void key_inABearerHeader_isDecoded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("key-1"), keyOf("Authorization", "Bearer key-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("key-1"), keyOf("authorization", "bearer  key-1 "));
    }

    void key_inAnotherScheme_isNone()
    {
        for (const std::string value : {"", "Bearer", "Bearer ", "Basic key-1", "key-1"})
            CPPUNIT_ASSERT_EQUAL(std::string(), keyOf("Authorization", value));
        CPPUNIT_ASSERT_EQUAL(std::string(), keyOf("X-Key", "Bearer key-1"));
    }

    void refusal_forAnUnknownKey_isUnauthorized()
    {
        CallerAnswer answer;
        answer.outcome = CallerOutcome::Unauthorized;
        const HttpReply reply = protocol_.encodeAnswer(answer);
        CPPUNIT_ASSERT_EQUAL(401, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer"), reply.challenge);
        answer.outcome = CallerOutcome::Forbidden;
        CPPUNIT_ASSERT_EQUAL(403, protocol_.encodeAnswer(answer).status);
    }

    void configuration_withTenants_hasAccounts()
    {
        const CellConfiguration configuration = decode(
                R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/p/","public":true}],)"
                R"("services":[],"tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":1,)"
                R"("weight":2.5,"cap":{"cpu":3000,"memMb":2,"gpus":0}}]})");
        CPPUNIT_ASSERT(configuration.hasAccounts && configuration.queues.at(0).isPublic);
        const ClientAccount &account = configuration.accounts.at(0);
        CPPUNIT_ASSERT(account.id == AccountId("a"));
        CPPUNIT_ASSERT(account.keys == std::vector({AccountKey("k1"), AccountKey("k2")}));
        CPPUNIT_ASSERT(account.weight == AccountWeight(2500));
        CPPUNIT_ASSERT(account.cap.processors == Millicores(3000));
        CPPUNIT_ASSERT(account.cap.memory == Bytes(2 << 20));
    }

    void configuration_withoutTenants_hasNone()
    {
        CPPUNIT_ASSERT(!decode(R"({"version":7,"routes":[],"services":[]})").hasAccounts);
        CPPUNIT_ASSERT(
                decode(R"({"version":7,"routes":[],"services":[],"tenants":[]})").hasAccounts);
    }

    /// Guards against a small body that takes far more memory when it is decoded.
    void job_withVeryManySteps_isInvalid()
    {
        std::string steps = "{}";
        for (int i = 0; i < 2000; ++i)
            steps += ",{}";
        HttpRequest request;
        request.method = "POST";
        request.target = "/q/0123456789abcdef";
        request.body = R"({"spec":"","steps":[)" + steps + "]}";
        const auto decoded = protocol_.decodeCaller(CallerRequestId(1), std::move(request));
        CPPUNIT_ASSERT_EQUAL(400, std::get<HttpReply>(decoded).status);
    }

private:
    std::string keyOf(const std::string &field, const std::string &value) const
    {
        HttpRequest request;
        request.method = "GET";
        request.target = "/q/0123456789abcdef";
        request.headers = {{field, value}};
        const auto decoded = protocol_.decodeCaller(CallerRequestId(1), std::move(request));
        return std::get<CallerRequest>(decoded).key.value();
    }

    static CellConfiguration decode(const std::string &text)
    {
        const platform::JsonDocument document = platform::parseObject(text);
        return platform::decodeConfiguration(document.root());
    }

    platform::PlatformProtocol protocol_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAccountDecodingTest);

} // namespace caraway::tests
