#include "platform/PlatformJson.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using cell::WorkerEntry;

/// The capacity in a worker's entry.
class WorkerCapacityDecodingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerCapacityDecodingTest);
    CPPUNIT_TEST(capacity_ofZero_isDecoded);
    CPPUNIT_TEST(capacity_withoutANumber_hasNoneOfIt);
    CPPUNIT_TEST(capacity_withAFraction_isRoundedDown);
    CPPUNIT_TEST(need_withAFraction_isRoundedUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void capacity_ofZero_isDecoded()
    {
        CPPUNIT_ASSERT(decode(R"({"cpu":0,"memMb":0,"gpus":0})").capacity == Resources());
    }

    void capacity_withoutANumber_hasNoneOfIt()
    {
        CPPUNIT_ASSERT(decode("{}").capacity == Resources());
        const Resources capacity = decode(R"({"memMb":5})").capacity;
        CPPUNIT_ASSERT(capacity.memory == Bytes(5 << 20));
        CPPUNIT_ASSERT(capacity.processors == Millicores());
        CPPUNIT_ASSERT(capacity.accelerators == Accelerators());
    }

    void capacity_withAFraction_isRoundedDown()
    {
        const Resources capacity = decode(R"({"cpu":3199.6,"memMb":1023.5,"gpus":1.9})").capacity;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3199), capacity.processors.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1023) << 20, capacity.memory.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), capacity.accelerators.count());
    }

    void need_withAFraction_isRoundedUp()
    {
        const Resources need = platform::decodeResources(
                platform::parseObject(R"({"cpu":3199.2,"memMb":0.1})").root());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3200), need.processors.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1) << 20, need.memory.count());
    }

private:
    static WorkerEntry decode(const std::string &capacity)
    {
        return platform::decodeWorkerEntry(
                "w-1",
                platform::parseObject(
                        R"({"service":"s","address":"10.0.0.9:8080","state":"ready","capacity":)"
                        + capacity + "}")
                        .root());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerCapacityDecodingTest);

} // namespace caraway::tests
