#include "CellDuties/AsyncHttpClient.h"
#include "CellDuties/HttpServer.h"
#include "Core/Stopwatch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <thread>

namespace caraway::tests {

using namespace cell;

/// Calls over loopback by a thread that is busy with other work.
class LateHttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateHttpClientTest);
    CPPUNIT_TEST(call_whoseResponseWaitsForALateThread_isAnswered);
    CPPUNIT_TEST(call_withoutAResponse_isUnansweredAfterItsTimeout);
    CPPUNIT_TEST(call_toAnAddressWithoutAServer_isNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        isServerSilent_ = false;
        clientThread_ = std::make_unique<IoThread>();
        client_ = std::make_unique<AsyncHttpClient>(*clientThread_, clock_);
        clientThread_->start();
    }
    void tearDown() override
    {
        clientThread_->stop();
        client_.reset();
        clientThread_.reset();
    }

    /// Guards against sound servers that count as silent while this process is overloaded.
    void call_whoseResponseWaitsForALateThread_isAnswered()
    {
        startServer();
        std::future<HttpOutcome> outcome = call();
        for (int i = 0; i < 3; ++i) {
            boost::asio::post(clientThread_->context(),
                              [] { std::this_thread::sleep_for(2 * timeout); });
        }
        CPPUNIT_ASSERT(outcome.get() == HttpOutcome::Answered);
        stopServer();
    }

    void call_withoutAResponse_isUnansweredAfterItsTimeout()
    {
        isServerSilent_ = true;
        startServer();
        const Stopwatch stopwatch;
        CPPUNIT_ASSERT(call().get() == HttpOutcome::Unanswered);
        CPPUNIT_ASSERT(stopwatch.seconds() >= std::chrono::duration<double>(timeout).count());
        CPPUNIT_ASSERT(stopwatch.seconds() <= longWaitSeconds);
        stopServer();
    }

    void call_toAnAddressWithoutAServer_isNotSent()
    {
        CPPUNIT_ASSERT(call().get() == HttpOutcome::NotSent);
    }

private:
    static constexpr std::chrono::milliseconds timeout {200};
    static constexpr double longWaitSeconds = 5;

    static Address unusedAddress()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(
                context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    void startServer()
    {
        serverThread_ = std::make_unique<IoThread>();
        server_ = std::make_unique<HttpServer>(*serverThread_, address_,
                                               std::make_shared<ClientLimits>(CellSettings()),
                                               [this](std::uint64_t number, HttpRequest &&) {
                                                   if (!isServerSilent_)
                                                       server_->answer(number, {200, "{}", 0});
                                               });
        serverThread_->start();
    }
    void stopServer()
    {
        serverThread_->stop();
        server_.reset();
        serverThread_.reset();
    }

    std::future<HttpOutcome> call()
    {
        const auto outcome = std::make_shared<std::promise<HttpOutcome>>();
        boost::asio::post(clientThread_->context(), [this, outcome] {
            client_->call(address_, HttpRequest {"GET", "/", address_.host, {}, {}},
                          Milliseconds(timeout.count()), [outcome](HttpResponse &&response) {
                              outcome->set_value(response.outcome);
                          });
        });
        return outcome->get_future();
    }

    Clock clock_;
    Address address_ = unusedAddress();
    bool isServerSilent_ = false;
    std::unique_ptr<IoThread> serverThread_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<IoThread> clientThread_;
    std::unique_ptr<AsyncHttpClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateHttpClientTest);

} // namespace caraway::tests
