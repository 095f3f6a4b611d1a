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

/// Serves callers, operators and workers' reports over HTTP. A whole request waits in its own
/// thread on a ring of one answer; the decisions always answer by the request's deadline.
class CallersDuty
{
public:
    CallersDuty(EventRing &events, const std::atomic<bool> &ready, const ServeSettings &settings,
                MetricsDuty &metrics);
    ~CallersDuty();

    /// Hands an answer to the request that waits for it.
    void deliver(AnswerCaller answer);

private:
    using AnswerRing = Ring<AnswerCaller>;
    using Body = decltype(CallerRequest::body);
    using Decode = std::function<Result<Body>(const httplib::Request &)>;

    void addRoutes();
    void addPresetRoutes();
    void answerRefusals();
    void addRequest(const std::string &method, const std::string &path, const Decode &decode);
    void serve(const httplib::Request &request, httplib::Response &response, const Decode &decode);
    /// Puts a request to the decisions and waits for the answer.
    Result<AnswerCaller> ask(Body body);
    void showMetrics(httplib::Response &response);
    void takeReport(const httplib::Request &request, httplib::Response &response);

    EventRing &events_;
    const std::atomic<bool> &ready_;
    MetricsDuty &metrics_;
    CallerServer server_;
    std::mutex mutex_;
    std::unordered_map<RequestId, std::shared_ptr<AnswerRing>> waiting_;
    std::uint64_t lastRequest_ = 0;
    std::thread thread_;
};

} // namespace caraway
