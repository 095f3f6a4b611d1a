#pragma once

#include "Decisions/Instance.h"
#include "Duties/CallersDuty.h"
#include "Duties/ConfigurationDuty.h"
#include "Duties/InstanceListDuty.h"
#include "Duties/LogDuty.h"
#include "Duties/MetricsDuty.h"
#include "Duties/PeersDuty.h"
#include "Duties/PresetWatchDuty.h"
#include "Duties/StoreDuty.h"
#include "Duties/TimerDuty.h"
#include "Duties/UpstreamsDuty.h"

#include <atomic>

namespace caraway {

/// Runs the decisions on the calling thread, and owns the other duties, which run on threads of
/// their own.
class DecisionsDuty
{
public:
    /// Throws std::runtime_error if a port is in use.
    explicit DecisionsDuty(const ServeSettings &settings);

    /// Serves until a stop is requested and all requests in flight are answered.
    void run();
    /// Requests a graceful stop; may be called from any thread.
    void requestStop() { events_.offer(StopRequested {}); }
    /// Ends run() at once, without waiting for the requests in flight; may be called from any
    /// thread.
    void stopNow() { events_.close(); }

private:
    Actions decide(const Event &event);
    void execute(AnswerCaller &action) { callers_.deliver(std::move(action)); }
    void execute(SendToPeer &action) { peers_.offer(std::move(action)); }
    void execute(CallStore &action) { store_.offer(action); }
    void execute(CallConfiguration &action);
    void execute(CallWorker &action) { upstreams_.offer(std::move(action)); }
    void execute(ConnectPeers &action) { peers_.offer(std::move(action)); }
    void execute(LogChange &action) { log_.offer(std::move(action)); }
    void execute(Observe &action) { metrics_.offer(std::move(action.sample)); }
    void execute(ExitProcess &action);

    Clock clock_;
    EventRing events_;
    bool isExiting_ = false;
    std::atomic<bool> ready_ = false;
    Instance instance_;
    MetricsDuty metrics_;
    LogDuty log_;
    StoreDuty store_;
    ConfigurationDuty configuration_;
    UpstreamsDuty upstreams_;
    PeersDuty peers_;
    CallersDuty callers_;
    InstanceListDuty instanceList_;
    PresetWatchDuty presetWatch_;
    TimerDuty timer_;
};

} // namespace caraway
