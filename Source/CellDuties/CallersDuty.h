#pragma once

#include "CellDuties/CellEvents.h"
#include "CellDuties/FleetProtocol.h"
#include "CellDuties/HttpServer.h"

namespace caraway::cell {

/// Serves callers, the readiness checks of the load balancer, and metrics requests.
template<FleetProtocol Protocol>
class CallersDuty
{
public:
    CallersDuty(CellEventRing &events, const CellSettings &settings)
        : events_(events)
        , limits_(std::make_shared<ClientLimits>(settings))
        , callers_(thread_, settings.callers, limits_,
                   [this](std::uint64_t number, HttpRequest &&request) {
                       handleRequest(number, std::move(request));
                   })
        , readiness_(thread_, settings.readiness, limits_,
                     [this](std::uint64_t number, HttpRequest &&) {
                         readiness_.answer(number, {ready_ ? httpOk : httpUnavailable, {}, 0});
                     })
        , metrics_(thread_, settings.metrics, limits_,
                   [this](std::uint64_t number, HttpRequest &&) {
                       if (!events_.offer(MetricsRequested {number}))
                           metrics_.answer(number, {httpUnavailable, {}, 1});
                   })
        , commands_(thread_, commandRingCapacity, [this](const Command &command) {
            std::visit([this](const auto &body) { this->execute(body); }, command);
        })
    {
        thread_.start();
    }
    ~CallersDuty() { thread_.stop(); }

    void offer(const CallerAnswer &answer) { commands_.offer(answer); }
    void offerMetrics(std::uint64_t number, std::string text)
    {
        text += limits_->render();
        commands_.offer(MetricsText {number, std::move(text)});
    }
    void setReady(bool ready) { ready_ = ready; }
    /// From now on, each answer to a caller closes its connection.
    void beginStop() { commands_.offer(BeginStop {}); }
    /// How often clients have exceeded limits since the start of the process.
    std::uint64_t refusedClients() const { return limits_->total(); }
    /// Requests that were read and not yet answered.
    std::size_t requestsInFlight() const { return inFlight_; }

private:
    struct MetricsText
    {
        std::uint64_t number = 0;
        std::string text;
    };
    struct BeginStop
    {
    };
    using Command = std::variant<CallerAnswer, MetricsText, BeginStop>;

    static constexpr std::size_t commandRingCapacity = 16'384;
    static constexpr int httpOk = 200;
    static constexpr int httpUnavailable = 503;

    void handleRequest(std::uint64_t number, HttpRequest &&request)
    {
        auto decoded = protocol_.decodeCaller(CallerRequestId(number), std::move(request));
        if (auto *reply = std::get_if<HttpReply>(&decoded)) {
            callers_.answer(number, *reply);
            return;
        }
        ++inFlight_;
        if (events_.offer(CellEvent(std::move(std::get<CallerRequest>(decoded)))))
            return;
        CallerAnswer refusal;
        refusal.id = CallerRequestId(number);
        refusal.retryAfter = Milliseconds(1000);
        execute(refusal);
    }

    void execute(const CallerAnswer &answer)
    {
        --inFlight_;
        callers_.answer(answer.id.value(), protocol_.encodeAnswer(answer));
    }
    void execute(const MetricsText &metrics)
    {
        metrics_.answer(metrics.number, {httpOk, metrics.text, 0});
    }
    void execute(const BeginStop & /*stop*/) { callers_.closeAfterAnswers(); }

    CellEventRing &events_;
    Protocol protocol_;
    std::atomic<bool> ready_ = false;
    std::atomic<std::size_t> inFlight_ = 0;
    std::shared_ptr<ClientLimits> limits_;
    IoThread thread_;
    HttpServer callers_;
    HttpServer readiness_;
    HttpServer metrics_;
    IoThreadRing<Command> commands_;
};

} // namespace caraway::cell
