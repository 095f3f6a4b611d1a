#include "CellDuties/HttpServer.h"
#include "CellDuties/OutboundDuties.h"
#include "platform/PlatformProtocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <chrono>
#include <mutex>
#include <thread>

namespace caraway::tests {

using namespace cell;
using platform::PlatformProtocol;

namespace {

/// A process that answers at an address as a worker, from its construction to its destruction.
class LoopbackWorker
{
public:
    struct Behaviour
    {
        /// The start time that its lists contain; nothing when they contain none.
        std::optional<std::uint64_t> born = std::nullopt;
        Milliseconds listDelay {};
        int listStatus = 200;
    };

    LoopbackWorker(const Address &address, Behaviour behaviour)
        : behaviour_(behaviour)
        , server_(thread_, address, std::make_shared<ClientLimits>(CellSettings()),
                  [this](std::uint64_t number, HttpRequest &&request) { handle(number, request); })
    {
        thread_.start();
    }
    ~LoopbackWorker() { thread_.stop(); }

    /// The number of requests for \a target.
    std::size_t requestsFor(const std::string &target) const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(
                std::count_if(requests_.begin(), requests_.end(), [&](const HttpRequest &request) {
                    return request.target == target;
                }));
    }
    std::vector<HttpRequest> requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    void handle(std::uint64_t number, const HttpRequest &request)
    {
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
        }
        if (request.target != "/carawaymount/hold") {
            server_.answer(number, {200, R"({"clockMs":1000})", 0});
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(behaviour_.listDelay.count()));
        const std::string born
                = behaviour_.born ? fmt::format(R"(,"born":{})", *behaviour_.born) : std::string();
        server_.answer(number,
                       {behaviour_.listStatus,
                        R"({"clockMs":1000,"running":[],"finished":[])" + born + "}", 0});
    }

    Behaviour behaviour_;
    mutable std::mutex mutex_;
    std::vector<HttpRequest> requests_;
    IoThread thread_;
    HttpServer server_;
};

Address unusedAddress()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace

/// Calls to workers that start again at their address, over connections on loopback.
class WorkerIncarnationCallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerIncarnationCallTest);
    CPPUNIT_TEST(start_toTheRunningIncarnation_isSentAfterAReadThatChangesNothing);
    CPPUNIT_TEST(start_toAnEarlierIncarnation_isNotSentAndReportsThePresentOne);
    CPPUNIT_TEST(heartbeat_toAnEarlierIncarnation_acknowledgesNothing);
    CPPUNIT_TEST(start_afterARestart_isNotSentOverAConnectionOfTheEarlierProcess);
    CPPUNIT_TEST(calls_overOneConnection_identifyItOnce);
    CPPUNIT_TEST(call_afterAFirstRead_identifiesNothingAgain);
    CPPUNIT_TEST(start_outdatedWhileItsConnectionIsIdentified_isNotSent);
    CPPUNIT_TEST(stop_outdatedWhileItsConnectionIsIdentified_isNotSent);
    CPPUNIT_TEST(heartbeat_outdatedWhileItsConnectionIsIdentified_renewsNothing);
    CPPUNIT_TEST(start_toAWorkerWithoutStartTime_isSent);
    CPPUNIT_TEST(start_toAnUnhealthyWorker_isNotSentAndReportsIt);
    CPPUNIT_TEST(start_withoutAnAnswerToItsIdentification_isNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        address_ = unusedAddress();
        events_ = std::make_unique<CellEventRing>(std::size_t(64));
        duty_ = std::make_unique<WorkersDuty<PlatformProtocol>>(*events_, clock_, CellSettings());
        lastCall_ = 0;
    }
    void tearDown() override
    {
        duty_.reset();
        worker_.reset();
    }

    void start_toTheRunningIncarnation_isSentAfterAReadThatChangesNothing()
    {
        run({.born = 7});
        const WorkerReplied replied = call(start(), 7);
        assertOutcome(WorkerOutcome::Done, replied);
        CPPUNIT_ASSERT(replied.isIdentified);
        const std::vector<HttpRequest> requests = worker_->requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), requests.size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"ackedThrough":0,"fencingToken":3})"),
                             requests.front().body);
        CPPUNIT_ASSERT_EQUAL(runStart_, requests.back().target);
    }

    void start_toAnEarlierIncarnation_isNotSentAndReportsThePresentOne()
    {
        run({.born = 8});
        const WorkerReplied replied = call(start(), 7);
        assertOutcome(WorkerOutcome::OtherIncarnation, replied);
        CPPUNIT_ASSERT(replied.reply.incarnation == WorkerIncarnation(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), worker_->requestsFor(runStart_));
    }

    /// Guards against ends that a worker forgets by a number of its earlier incarnation.
    void heartbeat_toAnEarlierIncarnation_acknowledgesNothing()
    {
        run({.born = 8});
        WorkerHeartbeat heartbeat;
        heartbeat.acknowledged = CompletionNumber(6);
        heartbeat.deadline = WorkerTime(5000);
        assertOutcome(WorkerOutcome::OtherIncarnation, call(heartbeat, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requests().size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"ackedThrough":0,"fencingToken":3})"),
                             worker_->requests().front().body);
    }

    void start_afterARestart_isNotSentOverAConnectionOfTheEarlierProcess()
    {
        run({.born = 7});
        assertOutcome(WorkerOutcome::Done, call(start(), 7));
        run({.born = 8});
        assertOutcome(WorkerOutcome::OtherIncarnation, call(start(), 7));
        assertOutcome(WorkerOutcome::Done, call(start(), 8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requestsFor(runStart_));
    }

    void calls_overOneConnection_identifyItOnce()
    {
        run({.born = 7});
        CPPUNIT_ASSERT(call(start(), 7).isIdentified);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!call(start(), 7).isIdentified);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requestsFor(hold_));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), worker_->requestsFor(runStart_));
    }

    void call_afterAFirstRead_identifiesNothingAgain()
    {
        run({.born = 7});
        const WorkerReplied first = call(WorkerHeartbeat {}, std::nullopt);
        assertOutcome(WorkerOutcome::Done, first);
        CPPUNIT_ASSERT(!first.isIdentified);
        CPPUNIT_ASSERT(!call(start(), 7).isIdentified);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requestsFor(hold_));
    }

    /// Guards against a start that is written after the holder has stopped waiting for it.
    void start_outdatedWhileItsConnectionIsIdentified_isNotSent()
    {
        run({.born = 7, .listDelay = Milliseconds(300)});
        assertOutcome(WorkerOutcome::NotSent, call(start(), 7, Milliseconds(100)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), worker_->requestsFor(runStart_));
    }

    void stop_outdatedWhileItsConnectionIsIdentified_isNotSent()
    {
        run({.born = 7, .listDelay = Milliseconds(300)});
        const WorkerStop stop {start().task, start().run};
        assertOutcome(WorkerOutcome::NotSent, call(stop, 7, Milliseconds(100)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requests().size());
    }

    /// Guards against a lease that a holder renews after it may have been replaced.
    void heartbeat_outdatedWhileItsConnectionIsIdentified_renewsNothing()
    {
        run({.born = 7, .listDelay = Milliseconds(300)});
        WorkerHeartbeat heartbeat;
        heartbeat.deadline = WorkerTime(5000);
        assertOutcome(WorkerOutcome::NotSent, call(heartbeat, 7, Milliseconds(100)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requests().size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"ackedThrough":0,"fencingToken":3})"),
                             worker_->requests().front().body);
    }

    void start_toAWorkerWithoutStartTime_isSent()
    {
        run({});
        assertOutcome(WorkerOutcome::Done, call(start(), 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker_->requestsFor(runStart_));
    }

    void start_toAnUnhealthyWorker_isNotSentAndReportsIt()
    {
        run({.born = 7, .listStatus = 503});
        assertOutcome(WorkerOutcome::Unhealthy, call(start(), 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), worker_->requestsFor(runStart_));
    }

    void start_withoutAnAnswerToItsIdentification_isNotSent()
    {
        run({.born = 7, .listDelay = Milliseconds(1200)});
        assertOutcome(WorkerOutcome::NotSent, call(start(), 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), worker_->requestsFor(runStart_));
    }

private:
    static constexpr Milliseconds timeout {700};

    void run(LoopbackWorker::Behaviour behaviour)
    {
        worker_.reset();
        worker_ = std::make_unique<LoopbackWorker>(address_, behaviour);
    }

    WorkerReplied call(decltype(WorkerRequest::command) command,
                       std::optional<std::uint64_t> incarnation,
                       Milliseconds sendWithin = Milliseconds(60'000))
    {
        WorkerRequest request {WorkerId("w-1"), address_, FencingToken(3), std::move(command)};
        if (incarnation)
            request.incarnation = WorkerIncarnation(*incarnation);
        request.notAfter = clock_.now() + sendWithin;
        duty_->offer(WorkerCall {CallId(++lastCall_), std::move(request), timeout});
        const std::optional<DutyEvent> event = events_->take();
        CPPUNIT_ASSERT(event);
        auto replied = std::get<WorkerReplied>(std::get<CellEvent>(*event));
        CPPUNIT_ASSERT(replied.id == CallId(lastCall_));
        return replied;
    }

    static WorkerStart start()
    {
        WorkerStart start;
        start.task = {JobId("5c0e7a21d94b36f8"), Occurrence(0), StepIndex(0), TaskIndex(0)};
        start.run = RunNumber(1);
        start.deadline = WorkerTime(486'000);
        return start;
    }

    static void assertOutcome(WorkerOutcome expected, const WorkerReplied &replied)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(expected)),
                             std::string(nameOf(replied.reply.outcome)));
    }

    const std::string runStart_ = "/carawaymount/run-start";
    const std::string hold_ = "/carawaymount/hold";
    Clock clock_;
    Address address_;
    std::unique_ptr<CellEventRing> events_;
    std::unique_ptr<WorkersDuty<PlatformProtocol>> duty_;
    std::unique_ptr<LoopbackWorker> worker_;
    std::uint64_t lastCall_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerIncarnationCallTest);

} // namespace caraway::tests
