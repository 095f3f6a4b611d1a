#include "Duties/CallersDuty.h"

#include "Messages/CallerCodec.h"
#include "Messages/ObjectReader.h"
#include "Messages/StatusMetrics.h"
#include "Messages/WorkerCodec.h"

#include <charconv>
#include <stdexcept>

namespace caraway {

namespace {

constexpr auto jsonType = "application/json";
constexpr std::int64_t maxWaitMs = 20'000;
constexpr int unavailableStatus = 503;
constexpr int notFoundStatus = 404;
constexpr int payloadTooLargeStatus = 413;

void write(httplib::Response &response, const CallerResponse &answer)
{
    response.status = answer.status;
    response.set_content(answer.body, jsonType);
}

Result<Milliseconds> readWaitTime(const httplib::Request &request)
{
    if (!request.has_param("wait_ms"))
        return Milliseconds();
    const std::string text = request.get_param_value("wait_ms");
    std::int64_t wait = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), wait);
    if (code != std::errc() || end != text.data() + text.size() || wait < 0 || wait > maxWaitMs) {
        return fail(ErrorKind::InvalidRequest,
                    "wait_ms is not a whole number from 0 to 20000. Correct it.");
    }
    return Milliseconds(wait);
}

Result<JobName> readJobName(const httplib::Request &request)
{
    std::string name = request.matches[1].str();
    if (!isUtf8(name))
        return fail(ErrorKind::InvalidRequest, "The job name is not valid UTF-8. Correct it.");
    return JobName(std::move(name));
}

AnswerCaller makeOutcomeUnknown(RequestId request)
{
    AnswerCaller answer;
    answer.request = request;
    answer.body.emplace<Error>(
            Error {ErrorKind::OutcomeUnknown,
                   "The instance stopped before the outcome was known. Query another instance."});
    return answer;
}

} // namespace

CallersDuty::CallersDuty(EventRing &events, const std::atomic<bool> &ready,
                         const ServeSettings &settings, MetricsDuty &metrics)
    : events_(events)
    , ready_(ready)
    , metrics_(metrics)
    , server_(static_cast<std::size_t>(settings.callerThreads))
{
    server_.set_payload_max_length(static_cast<std::size_t>(settings.maxRequestBody.count()));
    server_.set_tcp_nodelay(true);
    addRoutes();
    setErrorHandler();
    if (!server_.bind_to_port(settings.callerEndpoint.host.c_str(), settings.callerEndpoint.port))
        throw std::runtime_error("the caller port is in use");
    thread_ = std::thread([this] { server_.serve(); });
}

CallersDuty::~CallersDuty()
{
    server_.stop();
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, ring] : openRequests_)
            ring->offer(makeOutcomeUnknown(id));
    }
    thread_.join();
    server_.finish();
}

void CallersDuty::setErrorHandler()
{
    server_.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty())
            return;
        std::string message = "The request is malformed. Correct it.";
        if (response.status == payloadTooLargeStatus)
            message = "The request body exceeds the limit of this instance. Send a smaller one.";
        else if (response.status == notFoundStatus)
            message = "No resource exists at this path. Correct it.";
        const int status = response.status;
        write(response, encodeErrorResponse({ErrorKind::InvalidRequest, std::move(message)}));
        response.status = status;
    });
}

void CallersDuty::addRoutes()
{
    addRequest("POST", "/v1/jobs", [](const httplib::Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(submit, decodeSubmit(request.body));
        return Body(std::move(submit));
    });
    addRequest("GET", R"(/v1/jobs/([^/]+))", [](const httplib::Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(name, readJobName(request));
        BOOST_LEAF_AUTO(wait, readWaitTime(request));
        return Body(QueryJob {std::move(name), wait});
    });
    addRequest("DELETE", R"(/v1/jobs/([^/]+))",
               [](const httplib::Request &request) -> Result<Body> {
                   BOOST_LEAF_AUTO(name, readJobName(request));
                   return Body(CancelJob {std::move(name)});
               });
    addRequest("GET", "/v1/status",
               [](const httplib::Request &) -> Result<Body> { return Body(ShowStatus {}); });
    addRequest("GET", "/v1/workers",
               [](const httplib::Request &) -> Result<Body> { return Body(ListWorkers {}); });
    addRequest("GET", "/v1/preset-in-force",
               [](const httplib::Request &) -> Result<Body> { return Body(ShowPresetInForce {}); });
    addRequest("POST", "/v1/preset-in-force", [](const httplib::Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(use, decodeUsePreset(request.body));
        return Body(std::move(use));
    });
    addPresetRoutes();
    server_.Post("/v1/reports",
                 [this](const httplib::Request &request, httplib::Response &response) {
                     handleReport(request, response);
                 });
    server_.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server_.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        serveMetrics(response);
    });
    server_.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        response.status = ready_ ? 200 : unavailableStatus;
        response.set_content(ready_ ? "ready\n" : "not ready\n", "text/plain");
    });
}

void CallersDuty::addPresetRoutes()
{
    using httplib::Request;
    addRequest("GET", "/v1/preset-in-force",
               [](const Request &) -> Result<Body> { return Body(ShowPresetInForce {}); });
    addRequest("POST", "/v1/preset-in-force", [](const Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(use, decodeUsePreset(request.body));
        return Body(std::move(use));
    });
    addRequest("GET", "/v1/preset-followers",
               [](const Request &) -> Result<Body> { return Body(ListFollowers {}); });
    addRequest("GET", "/v1/presets",
               [](const Request &) -> Result<Body> { return Body(ListPresets {}); });
    addRequest("PUT", R"(/v1/presets/([^/]+))", [](const Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(define,
                        decodeDefinePreset(request.body, PresetName(request.matches[1].str())));
        return Body(std::move(define));
    });
    addRequest("GET", "/v1/audit", [](const Request &request) -> Result<Body> {
        BOOST_LEAF_AUTO(day, decodeAuditDay(request.get_param_value("day")));
        return Body(ShowAuditTrail {std::move(day)});
    });
}

void CallersDuty::addRequest(const std::string &method, const std::string &path,
                             const Decode &decode)
{
    const auto handler
            = [this, decode](const httplib::Request &request, httplib::Response &response) {
                  serve(request, response, decode);
              };
    if (method == "POST")
        server_.Post(path, handler);
    else if (method == "GET")
        server_.Get(path, handler);
    else if (method == "PUT")
        server_.Put(path, handler);
    else
        server_.Delete(path, handler);
}

void CallersDuty::serve(const httplib::Request &request, httplib::Response &response,
                        const Decode &decode)
{
    const auto handle = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(body, decode(request));
        BOOST_LEAF_AUTO(answer, processRequest(std::move(body)));
        write(response, encodeResponse(answer));
        return {};
    };
    recoverFrom(handle, [&](const Error &error) { write(response, encodeErrorResponse(error)); });
    metrics_.count(Metric::CallerRequests, std::to_string(response.status));
}

Result<AnswerCaller> CallersDuty::processRequest(Body body)
{
    if (refusing_) {
        return fail(ErrorKind::Stopping,
                    "The instance is stopping and did not run the request. Send it to another "
                    "instance.");
    }
    const auto ring = std::make_shared<AnswerRing>(1);
    RequestId id;
    {
        const std::lock_guard lock(mutex_);
        id = RequestId(++lastRequest_);
        openRequests_.emplace(id, ring);
    }
    std::optional<AnswerCaller> answer;
    const bool offered = events_.offer(CallerRequest {id, std::move(body)});
    if (offered)
        answer = ring->take();
    {
        const std::lock_guard lock(mutex_);
        openRequests_.erase(id);
    }
    if (answer)
        return std::move(*answer);
    if (offered) {
        return fail(ErrorKind::OutcomeUnknown,
                    "The instance stopped before the outcome was known. Query another instance.");
    }
    metrics_.count(Metric::EventsDropped);
    return fail(ErrorKind::Unavailable,
                "The instance is overloaded and did not run the request. Try again later.");
}

void CallersDuty::serveMetrics(httplib::Response &response)
{
    const auto render = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(answer, processRequest(ShowStatus {}));
        const auto *status = std::get_if<InstanceStatus>(&answer.body);
        std::string text = status ? encodeStatusMetrics(*status) : std::string();
        text += encodeGauge("event_ring_depth", "Events that wait for the decisions.",
                            events_.depth());
        text += metrics_.render().value_or(std::string());
        response.set_content(text, "text/plain; version=0.0.4");
        return {};
    };
    recoverFrom(render, [&](const Error &error) { write(response, encodeErrorResponse(error)); });
}

bool CallersDuty::hasOpenRequests()
{
    const std::lock_guard lock(mutex_);
    return !openRequests_.empty();
}

void CallersDuty::deliver(AnswerCaller answer)
{
    std::shared_ptr<AnswerRing> ring;
    {
        const std::lock_guard lock(mutex_);
        const auto found = openRequests_.find(answer.request);
        if (found == openRequests_.end())
            return;
        ring = found->second;
    }
    ring->offer(std::move(answer));
}

void CallersDuty::handleReport(const httplib::Request &request, httplib::Response &response)
{
    const auto handle = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(report, decodeTaskReport(request.body));
        // If the ring is full, the report is dropped; a later heartbeat reads the same entry
        // from the worker's inventory.
        events_.offer(std::move(report));
        return {};
    };
    recoverFrom(handle, [&](const Error &error) { write(response, encodeErrorResponse(error)); });
}

} // namespace caraway
