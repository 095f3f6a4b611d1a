#include "Duties/UpstreamsDuty.h"

#include "Decisions/StableHash.h"
#include "Messages/WorkerCodec.h"

namespace caraway {

namespace {

enum HttpStatus { Ok = 200, ConflictStatus = 409 };

StartAnswered answerTo(const StartTask &start, StartOutcome outcome)
{
    return {start.shard, start.worker, start.task, start.attempt, outcome};
}

} // namespace

UpstreamsDuty::UpstreamsDuty(EventRing &events, const Clock &clock, const ServeSettings &settings)
    : events_(events)
    , clock_(clock)
    , settings_(settings)
{
    for (std::int64_t i = 0; i < settings_.upstreamThreads; ++i) {
        senders_.push_back(
                std::make_unique<Sender>(static_cast<std::size_t>(settings_.outwardRing)));
        Sender &sender = *senders_.back();
        sender.thread = std::thread([this, &sender] { run(sender); });
    }
}

UpstreamsDuty::~UpstreamsDuty()
{
    for (const std::unique_ptr<Sender> &sender : senders_)
        sender->calls.close();
    for (const std::unique_ptr<Sender> &sender : senders_)
        sender->thread.join();
}

void UpstreamsDuty::offer(CallWorker call)
{
    const WorkerId &worker = std::visit(
            [](const auto &body) -> const WorkerId & { return body.worker; }, call.body);
    Sender &sender = *senders_[stableHash(worker.value()) % senders_.size()];
    if (!sender.calls.offer(call))
        answerNotSent(call);
}

void UpstreamsDuty::answerNotSent(const CallWorker &call)
{
    if (const auto *start = std::get_if<StartTask>(&call.body)) {
        events_.offer(answerTo(*start, StartOutcome::NotSent));
        return;
    }
    const auto &heartbeat = std::get<HeartbeatWorker>(call.body);
    events_.offer(HeartbeatAnswered {heartbeat.shard, heartbeat.worker, clock_.now()});
}

void UpstreamsDuty::run(Sender &sender)
{
    while (const std::optional<CallWorker> next = sender.calls.take())
        std::visit([&](const auto &body) { call(sender, body); }, next->body);
}

void UpstreamsDuty::call(Sender &sender, const StartTask &start)
{
    const TimePoint now = clock_.now();
    if (now >= start.notAfter) {
        events_.offer(answerTo(start, StartOutcome::NotSent));
        return;
    }
    const std::string body = encodeStart(start, start.notAfter - now, settings_.callers);
    const httplib::Result response
            = clientFor(sender, start.endpoint).Post("/v1/tasks", body, "application/json");
    StartOutcome outcome = StartOutcome::Unanswered;
    if (response && response->status == Ok)
        outcome = StartOutcome::Started;
    else if (response && response->status == ConflictStatus)
        outcome = StartOutcome::Refused;
    events_.offer(answerTo(start, outcome));
}

void UpstreamsDuty::call(Sender &sender, const HeartbeatWorker &heartbeat)
{
    const TimePoint sentAt = clock_.now();
    const httplib::Result response
            = clientFor(sender, heartbeat.endpoint)
                      .Post("/v1/heartbeat", encodeHeartbeat(heartbeat), "application/json");
    HeartbeatAnswered answer;
    if (response && response->status == Ok) {
        answer = recoverFrom([&] { return decodeHeartbeatAnswer(response->body); },
                             [](const Error & /*error*/) { return HeartbeatAnswered {}; });
    }
    answer.shard = heartbeat.shard;
    answer.worker = heartbeat.worker;
    answer.sentAt = sentAt;
    events_.offer(std::move(answer));
}

httplib::Client &UpstreamsDuty::clientFor(Sender &sender, const Endpoint &endpoint)
{
    std::unique_ptr<httplib::Client> &client = sender.clients[endpoint];
    if (!client)
        client = makeHttpClient(endpoint, settings_.workerTimeout);
    return *client;
}

} // namespace caraway
