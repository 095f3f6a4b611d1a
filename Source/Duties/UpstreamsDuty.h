#pragma once

#include "Duties/HttpClient.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"

#include <map>
#include <thread>
#include <vector>

namespace caraway {

/// Carries starts and heartbeats to the workers over a fixed number of threads. Each worker
/// belongs to one thread, which keeps one connection to it and keeps its calls in order.
class UpstreamsDuty
{
public:
    UpstreamsDuty(EventRing &events, const Clock &clock, const ServeSettings &settings);
    ~UpstreamsDuty();

    /// Queues \a call; one that finds no room is answered as not sent.
    void offer(CallWorker call);

private:
    struct Sender
    {
        explicit Sender(std::size_t capacity)
            : calls(capacity)
        {
        }

        Ring<CallWorker> calls;
        std::map<Endpoint, std::unique_ptr<httplib::Client>> clients;
        std::thread thread;
    };

    void run(Sender &sender);
    void call(Sender &sender, const StartTask &start);
    void call(Sender &sender, const HeartbeatWorker &heartbeat);
    httplib::Client &clientFor(Sender &sender, const Endpoint &endpoint);
    void answerNotSent(const CallWorker &call);

    EventRing &events_;
    const Clock &clock_;
    const ServeSettings &settings_;
    std::vector<std::unique_ptr<Sender>> senders_;
};

} // namespace caraway
