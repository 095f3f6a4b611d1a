#include "Messages/CellCodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

class CellCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellCodecTest);
    CPPUNIT_TEST(decode_encodedClosedWorkers_returnsEqualRecord);
    CPPUNIT_TEST(decode_closedWorkersWithoutJobs_isMalformed);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellCodecTest);

} // namespace caraway::tests
