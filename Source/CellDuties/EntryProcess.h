#pragma once

#include "CellDuties/CallersDuty.h"
#include "CellDuties/CellMetrics.h"
#include "CellDuties/CellPeersDuty.h"
#include "CellDuties/LogDuty.h"
#include "CellDuties/OutboundDuties.h"
#include "CellDuties/TickDuty.h"
#include "Core/ProcessorStopwatch.h"

namespace caraway::cell {

/// One entry instance of a cell. The decisions run on the thread that calls run(), and every other
/// duty on a thread of its own.
template<FleetProtocol Protocol>
class EntryProcess
{
public:
    EntryProcess(const CellSettings &settings, ProcessId self)
        : settings_(settings)
        , log_(clock_)
        , events_(eventRingCapacity)
        , instance_(settings, self)
        , store_(events_, clock_, settings)
        , workers_(events_, clock_, settings)
        , peers_(events_, clock_, settings, std::move(self))
        , callers_(events_, settings)
    {
    }

    /// Serves until a stop is requested and the requests in flight are answered, or the grace
    /// period of the stop has almost elapsed.
    void run()
    {
        instance_.start(clock_.now(), wallTime());
        dispatchActions();
        TickDuty ticks(events_, clock_, [this] { return workers_.servedAt(); });
        while (!isStopComplete()) {
            const std::optional<DutyEvent> event = events_.take();
            if (!event)
                break;
            handleBatch(*event);
        }
        log_.offer(fmt::format("event=stop open_requests={}", callers_.requestsInFlight()));
    }

    /// Starts a graceful stop. Called from any thread.
    void requestStop() { events_.offer(CellEvent(StopRequested {})); }
    /// Logs a reload signal; the settings are not read again. Called from any thread.
    void logReload() { log_.offer("event=reload"); }

private:
    /// Bound of the events not yet handled; far more than one instance has calls and requests in
    /// flight.
    static constexpr std::size_t eventRingCapacity = 65'536;
    /// Bound of the events handled before one scheduling pass, which then covers them together.
    static constexpr std::size_t maxBatch = 128;
    /// The load balancer sends no new connections once two readiness checks have failed after the
    /// request to stop.
    static constexpr Milliseconds minStopTime {2600};
    static constexpr Milliseconds refusalLogInterval {1000};
    /// Part of the grace period reserved for ending the threads.
    static constexpr Milliseconds threadStopMargin {800};

    static WallTime wallTime() { return WallTime(Clock::wallClock().count()); }

    void handleBatch(const DutyEvent &first)
    {
        const Stopwatch stopwatch;
        std::size_t handled = 1;
        handle(first);
        while (handled < maxBatch) {
            const std::optional<DutyEvent> next = events_.tryTake();
            if (!next)
                break;
            handle(*next);
            ++handled;
        }
        runSchedulingPass();
        dispatchActions();
        metrics_.observeDecision(stopwatch.seconds());
        metrics_.countEvents(handled);
    }

    void runSchedulingPass()
    {
        const ProcessorStopwatch processorStopwatch;
        const Stopwatch stopwatch;
        const std::optional<PassReport> report
                = instance_.runSchedulingPass(clock_.now(), wallTime());
        if (!report)
            return;
        const PassDuration duration {processorStopwatch.elapsed(), stopwatch.elapsed()};
        instance_.recordPassTime(clock_.now(), duration);
        metrics_.observePass(*report, duration.processorTime);
    }

    void handle(const DutyEvent &event)
    {
        if (const auto *request = std::get_if<MetricsRequested>(&event)) {
            callers_.offerMetrics(request->number, metrics_.render());
            return;
        }
        const CellEvent &body = std::get<CellEvent>(event);
        if (std::holds_alternative<StopRequested>(body) && !stopRequestedAt_) {
            stopRequestedAt_ = clock_.now();
            callers_.beginStop();
        }
        if (const auto *replied = std::get_if<WorkerReplied>(&body))
            metrics_.countReply(*replied);
        if (std::holds_alternative<Tick>(body))
            logRefusedClients();
        instance_.handle(clock_.now(), wallTime(), body);
    }

    /// One line for all refusals of a second; the metrics have their reasons.
    void logRefusedClients()
    {
        const std::uint64_t refused = callers_.refusedClients();
        if (refused == loggedRefusals_ || clock_.now() < nextRefusalLog_)
            return;
        nextRefusalLog_ = clock_.now() + refusalLogInterval;
        log_.offer(fmt::format("event=clients_refused count={} total={}", refused - loggedRefusals_,
                               refused));
        loggedRefusals_ = refused;
    }

    void dispatchActions()
    {
        CellActions actions = instance_.takeActions();
        metrics_.count(actions);
        for (StoreCall &call : actions.store)
            store_.offer(std::move(call));
        for (WorkerCall &call : actions.workers)
            workers_.offer(std::move(call));
        for (ApprovalCall &call : actions.approvals)
            workers_.offer(std::move(call));
        for (const PeerSend &message : actions.peers)
            peers_.offer(message);
        for (const CallerAnswer &answer : actions.answers)
            callers_.offer(answer);
        for (std::string &line : actions.log)
            log_.offer(std::move(line));
        callers_.setReady(instance_.isReady());
    }

    bool isStopComplete() const
    {
        if (!stopRequestedAt_)
            return false;
        const Milliseconds elapsed = clock_.now() - *stopRequestedAt_;
        const bool isIdle = instance_.isIdle() && callers_.requestsInFlight() == 0;
        return (isIdle && elapsed >= minStopTime)
                || elapsed >= settings_.stopGrace - threadStopMargin;
    }

    Clock clock_;
    CellSettings settings_;
    LogDuty log_;
    CellEventRing events_;
    CellInstance instance_;
    CellMetrics metrics_;
    StoreDuty<Protocol> store_;
    WorkersDuty<Protocol> workers_;
    CellPeersDuty peers_;
    CallersDuty<Protocol> callers_;
    std::optional<TimePoint> stopRequestedAt_;
    std::uint64_t loggedRefusals_ = 0;
    TimePoint nextRefusalLog_;
};

} // namespace caraway::cell
