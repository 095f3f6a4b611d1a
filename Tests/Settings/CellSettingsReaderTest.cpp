#include "Command/CellSettingsReader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <map>

namespace caraway::tests {

using cell::CellSettings;

/// The settings of an entry instance, from the template that the platform fills in.
class CellSettingsReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellSettingsReaderTest);
    CPPUNIT_TEST(template_withWholeBounds_setsThem);
    CPPUNIT_TEST(template_withFractionsInSeconds_keepsResultsAtLeastAsLong);
    CPPUNIT_TEST(template_withAFractionAsGraceTime_stopsWithinIt);
    CPPUNIT_TEST(template_withAFractionOfAMillisecond_neverShortensTheLease);
    CPPUNIT_TEST(template_withASmallProcessorShare_setsIt);
    CPPUNIT_TEST(template_withAValueThatIsNoNumber_isRefusedWithKeyAndValue);
    CPPUNIT_TEST(template_withANumberOutOfRange_isRefusedWithKeyAndValue);
    CPPUNIT_TEST(bounds_inMillisecondsOfAnEarlierTemplate_areRead);
    CPPUNIT_TEST(bounds_withAFractionInAnEarlierTemplate_areRefused);
    CPPUNIT_TEST(bounds_inBothUnits_areRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        values_ = {{"node", "entry-1"},
                   {"zone", "zone-a"},
                   {"listen.front", "10.0.0.1:8161"},
                   {"listen.ready", "10.0.0.1:8167"},
                   {"ip", "10.0.0.1"},
                   {"portRange.0", "7720"},
                   {"platform.address", "10.0.0.2:8169"},
                   {"advice", ""},
                   {"limits.cpuShare", "0.25"},
                   {"bounds.maxHoldMs", "6000"},
                   {"bounds.graceS", "6"},
                   {"bounds.status_s", "120"},
                   {"bounds.configApplyMs", "2000"},
                   {"limits.memoryMb", "260"},
                   {"limits.maxFds", "4100"}};
    }

    void template_withWholeBounds_setsThem()
    {
        const CellSettings settings = read();
        CPPUNIT_ASSERT(settings.workerLease == Milliseconds(6000));
        CPPUNIT_ASSERT(settings.resultLifetime == Milliseconds(120'000));
        CPPUNIT_ASSERT(settings.stopGrace == Milliseconds(6000));
        CPPUNIT_ASSERT(settings.processors == Millicores(250));
    }

    /// Guards against results that are removed within milliseconds, and answered as unknown.
    void template_withFractionsInSeconds_keepsResultsAtLeastAsLong()
    {
        values_["bounds.status_s"] = "120.5";
        CPPUNIT_ASSERT(read().resultLifetime == Milliseconds(120'500));
        values_["bounds.status_s"] = "120.0004";
        CPPUNIT_ASSERT(read().resultLifetime == Milliseconds(120'001));
    }

    /// Guards against a process that ends within milliseconds of SIGTERM, or is killed.
    void template_withAFractionAsGraceTime_stopsWithinIt()
    {
        values_["bounds.graceS"] = "6.5";
        CPPUNIT_ASSERT(read().stopGrace == Milliseconds(6500));
        values_["bounds.graceS"] = "0.5006";
        CPPUNIT_ASSERT(read().stopGrace == Milliseconds(500));
    }

    /// Guards against a lease that counts as expired while the worker still grants it.
    void template_withAFractionOfAMillisecond_neverShortensTheLease()
    {
        values_["bounds.maxHoldMs"] = "6000.25";
        CPPUNIT_ASSERT(read().workerLease == Milliseconds(6001));
    }

    void template_withASmallProcessorShare_setsIt()
    {
        values_["limits.cpuShare"] = "0.05";
        CPPUNIT_ASSERT(read().processors == Millicores(50));
    }

    void template_withAValueThatIsNoNumber_isRefusedWithKeyAndValue()
    {
        values_["bounds.status_s"] = "true";
        assertRefused("bounds.result_lifetime_s is true");
        values_["bounds.status_s"] = "nan";
        assertRefused("bounds.result_lifetime_s is nan");
        values_["bounds.status_s"] = "\"two minutes\"";
        assertRefused("bounds.result_lifetime_s is 'two minutes'");
    }

    void template_withANumberOutOfRange_isRefusedWithKeyAndValue()
    {
        for (const std::string value : {"-1", "0", "inf", "1e300"}) {
            setUp();
            values_["bounds.graceS"] = value;
            assertRefused("bounds.stop_grace_s is ");
            setUp();
            values_["bounds.maxHoldMs"] = value;
            assertRefused("bounds.worker_lease_ms is ");
            setUp();
            values_["limits.cpuShare"] = value;
            assertRefused("instance.processor_share is ");
        }
    }

    void bounds_inMillisecondsOfAnEarlierTemplate_areRead()
    {
        useEarlierTemplate();
        const CellSettings settings = read();
        CPPUNIT_ASSERT(settings.resultLifetime == Milliseconds(120'000));
        CPPUNIT_ASSERT(settings.stopGrace == Milliseconds(6000));
    }

    /// An earlier template appends zeros, which makes milliseconds of seconds.
    void bounds_withAFractionInAnEarlierTemplate_areRefused()
    {
        useEarlierTemplate();
        values_["bounds.status_s"] = "120.5";
        assertRefused("bounds.result_lifetime_ms is 120.5");
    }

    void bounds_inBothUnits_areRefused()
    {
        extra_ = "\nstop_grace_ms = 6000\n";
        assertRefused("bounds.stop_grace_s is given as well as bounds.stop_grace_ms");
    }

private:
    static std::string readTemplate()
    {
        std::ifstream file(TEMPLATE_PATH);
        CPPUNIT_ASSERT(file);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    static void replaceAll(std::string &text, const std::string &from, const std::string &to)
    {
        for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
            text.replace(at, from.size(), to);
    }
    void useEarlierTemplate()
    {
        replaceAll(template_, "stop_grace_s = {{bounds.graceS}}",
                   "stop_grace_ms = {{bounds.graceS}}000");
        replaceAll(template_, "result_lifetime_s = {{bounds.status_s}}",
                   "result_lifetime_ms = {{bounds.status_s}}000");
    }
    std::string render() const
    {
        std::string text = template_ + extra_;
        for (const auto &[name, value] : values_)
            replaceAll(text, "{{" + name + "}}", value);
        return text;
    }
    CellSettings read() const
    {
        return recoverFrom([&] { return readCellSettings(render(), "local.toml"); },
                           [](const Error &error) -> CellSettings {
                               CPPUNIT_FAIL(error.message);
                               return {};
                           });
    }
    void assertRefused(const std::string &text) const
    {
        const std::string message = recoverFrom(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_CHECK(readCellSettings(render(), "local.toml"));
                    return std::string();
                },
                [](const Error &error) { return error.message; });
        CPPUNIT_ASSERT_MESSAGE(message, message.starts_with("local.toml: " + text));
        CPPUNIT_ASSERT_MESSAGE(message, message.ends_with("Correct the key and start again."));
    }

    std::map<std::string, std::string> values_;
    std::string template_ = readTemplate();
    std::string extra_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellSettingsReaderTest);

} // namespace caraway::tests
