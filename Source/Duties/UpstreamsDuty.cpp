#include "Duties/UpstreamsDuty.h"

#include "Core/Stopwatch.h"

#include "Decisions/StableHash.h"
#include "Messages/WorkerCodec.h"

namespace caraway {

namespace {

/// Threads for the probes of workers whose circuit breaker is open.
constexpr int probeThreads = 2;
/// The timeout of a probe is that of a regular call divided by this.
constexpr std::int64_t probeTimeoutDivisor = 2;
/// Maximum number of calls queued for one worker.
constexpr std::size_t maxQueuedCalls = 256;

enum HttpStatus { Ok = 200, ConflictStatus = 409 };

StartAnswered makeStartAnswered(const StartTask &start, StartOutcome outcome)
{
    return {start.shard, start.worker, start.task, start.attempt, outcome};
}

} // namespace

UpstreamsDuty::UpstreamsDuty(EventRing &events, const Clock &clock, const ServeSettings &settings,
                             MetricsDuty &metrics)
    : events_(events)
    , clock_(clock)
    , settings_(settings)
    , metrics_(metrics)
    , regularRing_(static_cast<std::size_t>(settings.outwardRingCapacity))
    , probeRing_(static_cast<std::size_t>(settings.outwardRingCapacity))
{
    for (std::int64_t i = 0; i < settings_.upstreamThreads; ++i)
        threads_.emplace_back([this] { run(regularRing_, CallType::Regular); });
    for (int i = 0; i < probeThreads; ++i)
        threads_.emplace_back([this] { run(probeRing_, CallType::Probe); });
}

UpstreamsDuty::~UpstreamsDuty()
{
    regularRing_.close();
    probeRing_.close();
    for (std::thread &thread : threads_)
        thread.join();
}

void UpstreamsDuty::offer(CallWorker call)
{
    const WorkerId &worker = std::visit(
            [](const auto &body) -> const WorkerId & { return body.worker; }, call.body);
    const std::lock_guard lock(mutex_);
    Channel &channel = channelFor(worker);
    if (channel.queuedCalls.size() >= maxQueuedCalls || !isAllowed(channel, call)) {
        reportNotSent(call);
        return;
    }
    channel.queuedCalls.push_back(std::move(call));
    schedule(channel);
}

UpstreamsDuty::Channel &UpstreamsDuty::channelFor(const WorkerId &worker)
{
    std::unique_ptr<Channel> &channel = channels_[worker];
    if (!channel) {
        const auto limit = static_cast<std::uint32_t>(settings_.breakerFailures);
        channel = std::make_unique<Channel>(limit, stableHash(worker.value()));
    }
    return *channel;
}

bool UpstreamsDuty::isAllowed(Channel &channel, const CallWorker &call)
{
    if (channel.breaker.isClosed())
        return true;
    return std::holds_alternative<HeartbeatWorker>(call.body)
            && channel.breaker.tryStartProbe(clock_.now());
}

void UpstreamsDuty::schedule(Channel &channel)
{
    if (channel.isScheduled || channel.queuedCalls.empty())
        return;
    ChannelRing &ring = channel.breaker.isClosed() ? regularRing_ : probeRing_;
    channel.isScheduled = ring.offer(&channel);
    if (channel.isScheduled)
        return;
    for (const CallWorker &call : channel.queuedCalls)
        reportNotSent(call);
    channel.queuedCalls.clear();
}

void UpstreamsDuty::run(ChannelRing &ring, CallType type)
{
    while (const std::optional<Channel *> channel = ring.take())
        callNext(**channel, type);
}

void UpstreamsDuty::callNext(Channel &channel, CallType type)
{
    std::unique_lock lock(mutex_);
    if (!channel.queuedCalls.empty()) {
        const CallWorker next = std::move(channel.queuedCalls.front());
        channel.queuedCalls.pop_front();
        lock.unlock();
        const bool answered = std::visit(
                [&](const auto &body) { return call(channel, type, body); }, next.body);
        lock.lock();
        if (answered)
            channel.breaker.onAnswered(clock_.now());
        else
            channel.breaker.onUnanswered(clock_.now());
    }
    if (!channel.breaker.isClosed())
        dropQueuedStarts(channel);
    channel.isScheduled = false;
    schedule(channel);
}

void UpstreamsDuty::dropQueuedStarts(Channel &channel)
{
    std::erase_if(channel.queuedCalls, [this](const CallWorker &call) {
        const bool isStart = std::holds_alternative<StartTask>(call.body);
        if (isStart)
            reportNotSent(call);
        return isStart;
    });
}

void UpstreamsDuty::reportNotSent(const CallWorker &call)
{
    if (const auto *start = std::get_if<StartTask>(&call.body)) {
        events_.offer(makeStartAnswered(*start, StartOutcome::NotSent));
        return;
    }
    const auto &heartbeat = std::get<HeartbeatWorker>(call.body);
    events_.offer(HeartbeatAnswered {heartbeat.shard, heartbeat.worker, clock_.now()});
}

bool UpstreamsDuty::call(Channel &channel, CallType type, const StartTask &start)
{
    const TimePoint now = clock_.now();
    if (now >= start.notAfter) {
        events_.offer(makeStartAnswered(start, StartOutcome::NotSent));
        return true;
    }
    const std::string body = encodeStart(start, start.notAfter - now, settings_.callerEndpoint);
    const httplib::Result response = post(channel, type, start.endpoint, "tasks", body);
    StartOutcome outcome = StartOutcome::Unanswered;
    if (response && response->status == Ok)
        outcome = StartOutcome::Started;
    else if (response && response->status == ConflictStatus)
        outcome = StartOutcome::Refused;
    events_.offer(makeStartAnswered(start, outcome));
    return static_cast<bool>(response);
}

bool UpstreamsDuty::call(Channel &channel, CallType type, const HeartbeatWorker &heartbeat)
{
    const TimePoint sentAt = clock_.now();
    const httplib::Result response
            = post(channel, type, heartbeat.endpoint, "heartbeat", encodeHeartbeat(heartbeat));
    HeartbeatAnswered answer;
    if (response && response->status == Ok) {
        answer = recoverFrom([&] { return decodeHeartbeatAnswer(response->body); },
                             [](const Error & /*error*/) { return HeartbeatAnswered {}; });
    }
    answer.shard = heartbeat.shard;
    answer.worker = heartbeat.worker;
    answer.sentAt = sentAt;
    events_.offer(std::move(answer));
    return static_cast<bool>(response);
}

httplib::Result UpstreamsDuty::post(Channel &channel, CallType type, const Endpoint &endpoint,
                                    const std::string &call, const std::string &body)
{
    const Stopwatch stopwatch;
    httplib::Result response
            = clientFor(channel, type, endpoint).Post("/v1/" + call, body, "application/json");
    metrics_.count(Metric::WorkerCalls, call);
    metrics_.offer({Metric::WorkerCallSeconds, stopwatch.seconds(), call});
    if (!response)
        metrics_.count(Metric::WorkerFailures, call);
    return response;
}

httplib::Client &UpstreamsDuty::clientFor(Channel &channel, CallType type, const Endpoint &endpoint)
{
    if (!channel.client || channel.endpoint != endpoint) {
        channel.client = makeHttpClient(endpoint, settings_.workerTimeout);
        channel.endpoint = endpoint;
    }
    const bool isProbe = type == CallType::Probe;
    setTimeouts(*channel.client,
                isProbe ? settings_.workerTimeout / probeTimeoutDivisor : settings_.workerTimeout);
    return *channel.client;
}

} // namespace caraway
