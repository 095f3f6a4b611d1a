#pragma once

#include "CellDuties/CellEvents.h"
#include "CellDuties/FleetProtocol.h"
#include "CellDuties/HttpListener.h"

namespace caraway::cell {

/// Serves callers, the balancer's readiness checks, and readers of the metrics.
template<FleetProtocol Protocol>
class CallersDuty
{
public:
    CallersDuty(CellEventRing &events, const CellSettings &settings)
        : events_(events)
        , callers_(thread_, settings.callers,
                   [this](std::uint64_t number, HttpRequest &&request) {
                       take(number, std::move(request));
                   })
        , readiness_(thread_, settings.readiness,
                     [this](std::uint64_t number, HttpRequest &&) {
                         readiness_.answer(number, {ready_ ? httpOk : httpUnavailable, {}, 0});
                     })
        , metrics_(thread_, settings.metrics,
                   [this](std::uint64_t number, HttpRequest &&) {
                       if (!events_.offer(MetricsAsked {number}))
                           metrics_.answer(number, {httpUnavailable, {}, 1});
                   })
        , answers_(thread_, answerRingCapacity, [this](const Outward &outward) {
            std::visit([this](const auto &body) { this->carryOut(body); }, outward);
        })
    {
        thread_.start();
    }
    ~CallersDuty() { thread_.stop(); }

    void offer(const CallerAnswer &answer) { answers_.offer(answer); }
    void offerMetrics(std::uint64_t number, std::string text)
    {
        answers_.offer(MetricsText {number, std::move(text)});
    }
    void setReady(bool ready) { ready_ = ready; }
    /// Callers that come on from now are told to close their connections.
    void beginStop() { answers_.offer(BeginStop {}); }
    /// Requests that were read and not answered.
    std::size_t requestsUnderWay() const { return underWay_; }

private:
    struct MetricsText
    {
        std::uint64_t number = 0;
        std::string text;
    };
    struct BeginStop
    {
    };
    using Outward = std::variant<CallerAnswer, MetricsText, BeginStop>;

    static constexpr std::size_t answerRingCapacity = 16'384;
    static constexpr int httpOk = 200;
    static constexpr int httpUnavailable = 503;

    void take(std::uint64_t number, HttpRequest &&request)
    {
        auto decoded = protocol_.decodeCaller(CallerRequestId(number), std::move(request));
        if (auto *reply = std::get_if<HttpReply>(&decoded)) {
            callers_.answer(number, *reply);
            return;
        }
        ++underWay_;
        if (events_.offer(CellEvent(std::move(std::get<CallerRequest>(decoded)))))
            return;
        CallerAnswer refused;
        refused.id = CallerRequestId(number);
        refused.retryAfter = Milliseconds(1000);
        carryOut(refused);
    }

    void carryOut(const CallerAnswer &answer)
    {
        --underWay_;
        callers_.answer(answer.id.value(), protocol_.encodeAnswer(answer));
    }
    void carryOut(const MetricsText &metrics)
    {
        metrics_.answer(metrics.number, {httpOk, metrics.text, 0});
    }
    void carryOut(const BeginStop & /*stop*/) { callers_.closeAfterAnswers(); }

    CellEventRing &events_;
    Protocol protocol_;
    std::atomic<bool> ready_ = false;
    std::atomic<std::size_t> underWay_ = 0;
    IoThread thread_;
    HttpListener callers_;
    HttpListener readiness_;
    HttpListener metrics_;
    WakingRing<Outward> answers_;
};

} // namespace caraway::cell
