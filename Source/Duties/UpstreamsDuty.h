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

/// Sends task starts and heartbeats to the workers. Each worker has a channel: a bounded queue, a
/// circuit breaker, and one connection over which the calls are sent in order, one at a time.
/// The calling threads take channels with queued calls from a ring, so that an unresponsive
/// worker occupies at most one thread; once its circuit breaker opens, its probes run on
/// separate threads.
class UpstreamsDuty
{
public:
    UpstreamsDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                  MetricsDuty &metrics);
    ~UpstreamsDuty();

    /// Queues \a call; reports it as not sent if the queue is full or the circuit breaker does
    /// not allow it.
    void offer(CallWorker call);

private:
    struct Channel
    {
        Channel(std::uint32_t breakerLimit, std::uint64_t seed)
            : breaker(breakerLimit, seed)
        {
        }

        std::deque<CallWorker> queuedCalls;
        /// The channel is in a ring, or a thread is executing its next call.
        bool isScheduled = false;
        CallBreaker breaker;
        Endpoint endpoint;
        /// Accessed only by the thread that executes the channel's next call.
        std::unique_ptr<httplib::Client> client;
    };
    /// Selects the timeout of a call.
    enum class CallType { Regular, Probe };
    using ChannelRing = Ring<Channel *>;

    Channel &channelFor(const WorkerId &worker);
    bool isAllowed(Channel &channel, const CallWorker &call);
    void schedule(Channel &channel);
    void run(ChannelRing &ring, CallType type);
    void callNext(Channel &channel, CallType type);
    void dropQueuedStarts(Channel &channel);

    /// Each returns whether the worker answered.
    bool call(Channel &channel, CallType type, const StartTask &start);
    bool call(Channel &channel, CallType type, const HeartbeatWorker &heartbeat);
    /// Posts \a body to /v1/\a call of the worker at \a endpoint, and records metrics.
    httplib::Result post(Channel &channel, CallType type, const Endpoint &endpoint,
                         const std::string &call, const std::string &body);
    httplib::Client &clientFor(Channel &channel, CallType type, const Endpoint &endpoint);
    void reportNotSent(const CallWorker &call);

    EventRing &events_;
    const Clock &clock_;
    const ServeSettings &settings_;
    MetricsDuty &metrics_;
    std::mutex mutex_;
    /// Channels are never removed, so that the pointers in the rings stay valid.
    std::map<WorkerId, std::unique_ptr<Channel>> channels_;
    ChannelRing regularRing_;
    ChannelRing probeRing_;
    std::vector<std::thread> threads_;
};

} // namespace caraway
