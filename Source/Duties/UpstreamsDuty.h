#pragma once

#include "Decisions/CallBreaker.h"
#include "Duties/HttpClient.h"
#include "Duties/MetricsDuty.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace caraway {

/// Carries starts and heartbeats to the workers. Each worker has a lane: a bounded queue, a
/// breaker, and one connection with one call outstanding at a time, in order. Calling threads
/// take the next lane with a call from a ring, so that a worker that does not answer holds one
/// thread at most; once its breaker opens, its probes go to threads of their own.
class UpstreamsDuty
{
public:
    UpstreamsDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                  MetricsDuty &metrics);
    ~UpstreamsDuty();

    /// Queues \a call; one that finds no room is answered as not sent.
    void offer(CallWorker call);

private:
    struct Lane
    {
        Lane(std::uint32_t breakerLimit, std::uint64_t seed)
            : breaker(breakerLimit, seed)
        {
        }

        std::deque<CallWorker> waiting;
        /// The lane is in a ring or in a thread's hands.
        bool isScheduled = false;
        CallBreaker breaker;
        Endpoint endpoint;
        /// Used by the thread that has the lane in hand, only.
        std::unique_ptr<httplib::Client> client;
    };
    /// How long a call may take.
    enum class CallSpeed { Regular, Probe };
    using LaneRing = Ring<Lane *>;

    Lane &laneOf(const WorkerId &worker);
    bool isLetThrough(Lane &lane, const CallWorker &call);
    void schedule(Lane &lane);
    void run(LaneRing &ring, CallSpeed speed);
    void callNext(Lane &lane, CallSpeed speed);
    void dropStarts(Lane &lane);

    /// Each returns whether the worker answered.
    bool call(Lane &lane, CallSpeed speed, const StartTask &start);
    bool call(Lane &lane, CallSpeed speed, const HeartbeatWorker &heartbeat);
    /// Posts \a body to /v1/\a call of the worker at \a endpoint, and measures it.
    httplib::Result post(Lane &lane, CallSpeed speed, const Endpoint &endpoint,
                         const std::string &call, const std::string &body);
    httplib::Client &clientFor(Lane &lane, CallSpeed speed, const Endpoint &endpoint);
    void answerNotSent(const CallWorker &call);

    EventRing &events_;
    const Clock &clock_;
    const ServeSettings &settings_;
    MetricsDuty &metrics_;
    std::mutex mutex_;
    /// A lane stays at its address for good.
    std::map<WorkerId, std::unique_ptr<Lane>> lanes_;
    LaneRing ready_;
    LaneRing suspect_;
    std::vector<std::thread> threads_;
};

} // namespace caraway
