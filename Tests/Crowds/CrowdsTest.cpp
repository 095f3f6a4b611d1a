#include "Crowds/Crowd.h"
#include "Soak/SoakClients.h"
#include "Soak/SoakFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <httplib.h>

#include <fstream>
#include <functional>

namespace caraway::tests {

/// An entry process and crowds of clients that don't keep to the rules: at the path of jobs, at one
/// without a queue, at readiness and at the metrics. The process has to live within its limits of
/// memory and descriptors, run the jobs that are handed in, and answer an ordinary request.
class CrowdsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrowdsTest);
    CPPUNIT_TEST(bodies_inOnePieceThatStopShort_stayWithinLimits);
    CPPUNIT_TEST(bodies_inSmallPiecesThatStopShort_stayWithinLimits);
    CPPUNIT_TEST(bodies_inChunksThatStopShort_stayWithinLimits);
    CPPUNIT_TEST(bodies_farOverTheLimit_stayWithinLimits);
    CPPUNIT_TEST(bodies_ofVeryManyShortFields_stayWithinLimits);
    CPPUNIT_TEST(headers_ofVeryManyShortFields_stayWithinLimits);
    CPPUNIT_TEST(queries_ofVeryManyParts_stayWithinLimits);
    CPPUNIT_TEST(requests_sentAheadWithoutReading_stayWithinLimits);
    CPPUNIT_TEST(requests_sentVerySlowly_stayWithinLimits);
    CPPUNIT_TEST(requests_thatStopHalfWay_stayWithinLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "crowds-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(name.data()) != nullptr);
        folder_ = name;
        SoakFleetOptions options;
        options.instances = 1;
        options.workers = 2;
        options.folder = folder_;
        options.memoryMegabytes = memoryMegabytes;
        options.descriptors = descriptors;
        journal_ = std::make_unique<SoakJournal>(folder_ / "journal");
        fleet_ = std::make_unique<SoakFleet>(options, *journal_);
        fleet_->startWorkers();
        fleet_->startInstances();
        fleet_->awaitInstances();
    }

    void tearDown() override
    {
        fleet_.reset();
        journal_.reset();
        std::filesystem::remove_all(folder_);
    }

    void bodies_inOnePieceThatStopShort_stayWithinLimits()
    {
        play([&](const Target &target) { return bodyThatStopsShort(target, 1 << 20); });
    }

    void bodies_inSmallPiecesThatStopShort_stayWithinLimits()
    {
        play([&](const Target &target) { return bodyThatStopsShort(target, 4 << 10); });
    }

    void bodies_inChunksThatStopShort_stayWithinLimits()
    {
        play([&](const Target &target) {
            std::string bytes = post(target, "Transfer-Encoding: chunked");
            const std::string chunk = fmt::format("{:x}\r\n{}\r\n", 1024, std::string(1024, 'x'));
            for (std::size_t sent = 0; sent < legalBody; sent += 1024)
                bytes += chunk;
            return CrowdPlan {target.port, manyConnections, std::move(bytes), 16 << 10, {}};
        });
    }

    void bodies_farOverTheLimit_stayWithinLimits()
    {
        play([&](const Target &target) {
            std::string bytes = post(target, fmt::format("Content-Length: {}", 1 << 30));
            bytes += std::string(8 << 20, 'x');
            return CrowdPlan {target.port, 50, std::move(bytes), 1 << 20, {}};
        });
    }

    /// Guards against a body that takes far more memory when it is decoded.
    void bodies_ofVeryManyShortFields_stayWithinLimits()
    {
        std::string body = R"({"spec":"","steps":[{})";
        while (body.size() + 5 < legalBody)
            body += ",{}";
        body += "]}";
        play([&](const Target &target) {
            const std::string bytes
                    = post(target, fmt::format("Content-Length: {}", body.size())) + body;
            return CrowdPlan {target.port, 40, bytes, 1 << 20, {}};
        });
    }

    void headers_ofVeryManyShortFields_stayWithinLimits()
    {
        play([&](const Target &target) {
            std::string fields;
            while (fields.size() < 15'000)
                fields += "a:\r\n";
            fields += "Content-Length: 200000";
            return CrowdPlan {target.port, manyConnections, post(target, fields), 1 << 20, {}};
        });
    }

    void queries_ofVeryManyParts_stayWithinLimits()
    {
        std::string query = "?a";
        while (query.size() < 15'000)
            query += "&a";
        play([&](const Target &target) {
            const Target withQuery {target.port, target.path + query};
            return CrowdPlan {target.port,
                              manyConnections,
                              post(withQuery, "Content-Length: 200000"),
                              1 << 20,
                              {}};
        });
    }

    void requests_sentAheadWithoutReading_stayWithinLimits()
    {
        play([&](const Target &target) {
            std::string bytes;
            for (int i = 0; i < 20'000; ++i)
                bytes += fmt::format("GET {} HTTP/1.1\r\nHost: x\r\n\r\n", target.path);
            return CrowdPlan {target.port, 100, std::move(bytes), 1 << 20, {}};
        });
    }

    void requests_sentVerySlowly_stayWithinLimits()
    {
        play([&](const Target &target) {
            return CrowdPlan {target.port, manyConnections,
                              post(target, "Content-Length: 200000") + std::string(1000, 'x'), 10,
                              Milliseconds(200)};
        });
    }

    /// Guards against connections that use up the descriptors of links to other processes.
    void requests_thatStopHalfWay_stayWithinLimits()
    {
        play([&](const Target &target) {
            const std::string request = post(target, "Content-Length: 200000");
            return CrowdPlan {target.port,
                              manyConnections,
                              request.substr(0, request.size() / 2),
                              1 << 20,
                              {}};
        });
    }

private:
    struct Target
    {
        int port = 0;
        std::string path;
    };
    using MakePlan = std::function<CrowdPlan(const Target &)>;

    /// The limits of the process, far below those of a machine, so that a small crowd suffices.
    static constexpr int memoryMegabytes = 96;
    static constexpr int descriptors = 400;
    /// Of the descriptors, for links to other processes and for files.
    static constexpr int reservedDescriptors = 100;
    /// More than descriptors.
    static constexpr std::size_t manyConnections = 500;
    /// Just below the limit of a body in the configuration.
    static constexpr std::size_t legalBody = 262'000;
    static constexpr Milliseconds sendLimit {4000};
    static constexpr Milliseconds retryInterval {200};
    static constexpr int attempts = 100;

    static std::string post(const Target &target, const std::string &fields)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\n{}\r\n\r\n", target.path, host, fields);
    }
    static CrowdPlan bodyThatStopsShort(const Target &target, std::size_t pieceBytes)
    {
        std::string bytes = post(target, fmt::format("Content-Length: {}", legalBody));
        bytes += std::string(legalBody - 1, 'x');
        return {target.port, manyConnections, std::move(bytes), pieceBytes, {}};
    }

    SoakInstance &entry() { return *fleet_->instances().front(); }

    void play(const MakePlan &makePlan)
    {
        const std::vector<Target> targets
                = {{entry().callersPort(), "/queue/0123456789abcdef"},
                   {entry().callersPort(), "/no-such-queue/0123456789abcdef"},
                   {entry().readinessPort(), "/carawaymount/readiness"},
                   {entry().metricsPort(), "/metrics"}};
        for (const Target &target : targets) {
            Crowd crowd(makePlan(target));
            crowd.sendFor(sendLimit);
            assertWithinLimits(target);
            runJob(target);
            assertWithinLimits(target);
        }
        CPPUNIT_ASSERT(eventually([&] { return entry().isReady(); }));
    }

    void assertWithinLimits(const Target &target)
    {
        CPPUNIT_ASSERT_MESSAGE(target.path, entry().isRunning());
        const std::int64_t peak = statusOf("VmHWM:") / 1024;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} MB of memory", target.path, peak),
                               peak <= memoryMegabytes);
        const std::size_t open = openDescriptors();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} descriptors", target.path, open),
                               open <= descriptors - reservedDescriptors);
    }

    /// A job is taken, runs and is shown as completed, while the crowd stays.
    void runJob(const Target &target)
    {
        SoakJobPlan plan;
        plan.work = Milliseconds(50);
        plan.steps = {{0, 100}};
        const std::string path = fmt::format("/queue/{:016x}", ++lastJob_);
        const nlohmann::json step {{"count", 2}, {"cpu", 100}, {"memMb", 16}, {"estimateMs", 50}};
        const std::string body
                = nlohmann::json {{"spec", plan.toSpec()}, {"steps", nlohmann::json::array({step})}}
                          .dump();
        const httplib::Headers headers {{"Host", host}};
        CPPUNIT_ASSERT_MESSAGE(target.path, eventually([&] {
                                   const auto answer
                                           = client().Post(path, headers, body, "application/json");
                                   return answer && answer->status == 200;
                               }));
        CPPUNIT_ASSERT_MESSAGE(target.path, eventually([&] {
                                   const auto answer = client().Get(path, headers);
                                   return answer
                                           && answer->body.find("completed") != std::string::npos;
                               }));
    }

    /// A refusal or a closed connection is allowed.
    static bool eventually(const std::function<bool()> &isTrue)
    {
        for (int i = 0; i < attempts; ++i) {
            if (isTrue())
                return true;
            soakSleep(retryInterval);
        }
        return false;
    }

    httplib::Client client()
    {
        httplib::Client client("127.0.0.1", entry().callersPort());
        client.set_read_timeout(std::chrono::seconds(3));
        return client;
    }

    std::int64_t statusOf(const std::string &field)
    {
        std::ifstream file(fmt::format("/proc/{}/status", entry().pid()));
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with(field))
                return std::stoll(line.substr(field.size()));
        }
        return 0;
    }
    std::size_t openDescriptors()
    {
        const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", entry().pid()));
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    static constexpr const char *host = SoakClients::host;

    std::filesystem::path folder_;
    std::unique_ptr<SoakJournal> journal_;
    std::unique_ptr<SoakFleet> fleet_;
    std::uint64_t lastJob_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdsTest);

} // namespace caraway::tests
