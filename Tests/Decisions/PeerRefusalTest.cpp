#include "Decisions/Instance.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

class PeerRefusalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRefusalTest);
    CPPUNIT_TEST(presetReceived_fromEntryNotOnList_isNotTaken);
    CPPUNIT_TEST(presetReceived_fromEntryOnList_isTaken);
    CPPUNIT_TEST_SUITE_END();

    Instance instance_ {makeSettings()};

    static DecisionSettings makeSettings()
    {
        DecisionSettings settings;
        settings.self = InstanceId("a");
        return settings;
    }

    void receivePresetFrom(const char *peer)
    {
        PresetInForce inForce;
        inForce.revision = Revision(3);
        instance_.handle(TimePoint(Milliseconds(10)),
                         PeerMessageReceived {InstanceId(peer), PeerPreset {inForce}});
    }

public:
    void setUp() override
    {
        InstanceList list;
        for (const char *id : {"a", "b"})
            list.entries.push_back({InstanceId(id), ZoneId("z"), {}, {}, MemberState::Live});
        instance_.handle(TimePoint(Milliseconds(1)), InstanceListRead {list});
    }

    void presetReceived_fromEntryNotOnList_isNotTaken()
    {
        receivePresetFrom("stranger");
        CPPUNIT_ASSERT(!instance_.isReady());
    }

    void presetReceived_fromEntryOnList_isTaken()
    {
        receivePresetFrom("b");
        CPPUNIT_ASSERT(instance_.isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRefusalTest);

} // namespace caraway::tests
