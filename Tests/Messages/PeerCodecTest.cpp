#include "Messages/PeerCodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

class PeerCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerCodecTest);
    CPPUNIT_TEST(decode_encodedSubmit_givesTheSame);
    CPPUNIT_TEST(decode_everyTruncation_failsCleanly);
    CPPUNIT_TEST_SUITE_END();

    static PeerFrame makeFrame()
    {
        JobSpec spec;
        spec.name = JobName("n");
        spec.kind = KindId("k");
        spec.team = TeamId("t");
        spec.payload = std::string("\x00\xE2\x82\xAC", 4);
        return {InstanceId("a"),
                HolderRequest {ShardId("z"), RequestId(7), HolderSubmit {spec, Milliseconds(5)}}};
    }

    static bool decodes(std::string_view bytes)
    {
        return recoverFrom(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(decodePeerFrame(bytes));
                    return true;
                },
                [](const Error &) { return false; });
    }

    void decode_encodedSubmit_givesTheSame()
    {
        const PeerFrame frame = makeFrame();
        recoverFrom(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(decoded, decodePeerFrame(encodePeerFrame(frame)));
                    const auto &sent = std::get<HolderRequest>(frame.message);
                    const auto &got = std::get<HolderRequest>(decoded.message);
                    CPPUNIT_ASSERT(std::get<HolderSubmit>(sent.body).spec
                                   == std::get<HolderSubmit>(got.body).spec);
                    return {};
                },
                [](const Error &error) { CPPUNIT_FAIL(error.message); });
    }

    void decode_everyTruncation_failsCleanly()
    {
        const std::string bytes = encodePeerFrame(makeFrame());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!decodes(std::string_view(bytes).substr(0, size)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

} // namespace caraway::tests
