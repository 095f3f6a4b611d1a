#pragma once

#include "Duties/CallerServer.h"
#include "Duties/MetricsDuty.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace caraway {

/// Serves callers, operators and workers' reports over HTTP. Each serving thread handles one
/// request at a time and blocks until its answer arrives on a ring of capacity 1; the decisions
/// answer every request by its deadline.
class CallersDuty
{
public:
    CallersDuty(EventRing &events, const std::atomic<bool> &ready, const ServeSettings &settings,
                MetricsDuty &metrics);
    ~CallersDuty();

    /// Passes an answer to the thread that serves its request; drops it if there is none.
    void deliver(AnswerCaller answer);
    /// Refuses all further requests with ErrorKind::Stopping, without running them.
    void refuseNewRequests() { refusing_ = true; }
    /// Whether any request still awaits its answer.
    bool hasOpenRequests();

private:
    using AnswerRing = Ring<AnswerCaller>;
    using Body = decltype(CallerRequest::body);
    using Decode = std::function<Result<Body>(const httplib::Request &)>;

    void addRoutes();
    void addPresetRoutes();
    void setErrorHandler();
    void addRequest(const std::string &method, const std::string &path, const Decode &decode);
    void serve(const httplib::Request &request, httplib::Response &response, const Decode &decode);
    /// Sends a request to the decisions and waits for the answer.
    Result<AnswerCaller> processRequest(Body body);
    void serveMetrics(httplib::Response &response);
    void handleReport(const httplib::Request &request, httplib::Response &response);

    EventRing &events_;
    const std::atomic<bool> &ready_;
    MetricsDuty &metrics_;
    CallerServer server_;
    std::atomic<bool> refusing_ = false;
    std::mutex mutex_;
    std::unordered_map<RequestId, std::shared_ptr<AnswerRing>> openRequests_;
    std::uint64_t lastRequest_ = 0;
    std::thread thread_;
};

} // namespace caraway
