#pragma once

#include "CellDuties/AsyncHttpClient.h"
#include "CellDuties/CellEvents.h"
#include "CellDuties/FleetProtocol.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>

namespace caraway::cell {

/// Capacity of the ring from the decisions to a duty. A call that finds the ring full is answered
/// at once as not executed.
constexpr std::size_t outboundRingCapacity = 16'384;

/// Sends calls to the store and offers the replies as events.
template<FleetProtocol Protocol>
class StoreDuty
{
public:
    StoreDuty(CellEventRing &events, const Clock &clock, const CellSettings &settings)
        : events_(events)
        , store_(settings.store)
        , client_(thread_, clock)
        , calls_(thread_, outboundRingCapacity, [this](StoreCall &&call) { send(std::move(call)); })
    {
        thread_.start();
    }
    ~StoreDuty() { thread_.stop(); }

    void offer(StoreCall call)
    {
        const CallId id = call.id;
        if (!calls_.offer(std::move(call)))
            events_.offer(CellEvent(StoreReplied {id, {StoreOutcome::Refused, {}, false, {}, {}}}));
    }

private:
    void send(StoreCall &&call)
    {
        HttpRequest encoded = protocol_.encodeStore(call.request);
        client_.call(
                store_, std::move(encoded), call.timeout,
                [this, id = call.id, request = std::move(call.request)](HttpResponse &&response) {
                    events_.offer(CellEvent(StoreReplied {
                            id, protocol_.decodeStore(request, std::move(response))}));
                });
    }

    CellEventRing &events_;
    Address store_;
    Protocol protocol_;
    IoThread thread_;
    AsyncHttpClient client_;
    IoThreadRing<StoreCall> calls_;
};

/// Sends calls to the workers and to the policy service and offers the replies as events.
template<FleetProtocol Protocol>
class WorkersDuty
{
public:
    WorkersDuty(CellEventRing &events, const Clock &clock, const CellSettings &settings)
        : events_(events)
        , clock_(clock)
        , approvals_(settings.approvals)
        , client_(thread_, clock)
        , calls_(thread_, outboundRingCapacity, [this](Call &&call) { send(std::move(call)); })
        , servedTimer_(thread_.context())
    {
        recordServed();
        thread_.start();
    }
    ~WorkersDuty() { thread_.stop(); }

    /// The replies that were ready before then have been offered.
    TimePoint servedAt() const { return TimePoint(Milliseconds(servedAtMs_.load())); }

    void offer(WorkerCall call)
    {
        const CallId id = call.id;
        if (!calls_.offer(std::move(call)))
            reply(id, withheld());
    }
    void offer(ApprovalCall call)
    {
        const CallId id = call.id;
        if (!calls_.offer(std::move(call)))
            events_.offer(CellEvent(ApprovalReplied {id, {}}));
    }

private:
    using Call = std::variant<WorkerCall, ApprovalCall>;

    static constexpr std::chrono::milliseconds servedInterval {50};

    void recordServed()
    {
        servedAtMs_ = clock_.now().sinceStart().count();
        servedTimer_.expires_after(servedInterval);
        servedTimer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                recordServed();
        });
    }

    static WorkerReply withheld()
    {
        WorkerReply reply;
        reply.outcome = WorkerOutcome::Withheld;
        return reply;
    }

    void reply(CallId id, WorkerReply reply, bool isIdentified = false)
    {
        reply.receivedAt = clock_.now();
        events_.offer(CellEvent(WorkerReplied {id, std::move(reply), isIdentified}));
    }

    void send(Call &&call)
    {
        if (auto *workerCall = std::get_if<WorkerCall>(&call))
            send(std::move(*workerCall));
        else
            send(std::get<ApprovalCall>(call));
    }

    /// A call in flight.
    struct Pending
    {
        CallId id;
        WorkerRequest request;
        bool isIdentified = false;
    };

    void send(WorkerCall &&call)
    {
        HttpCall http;
        http.request = protocol_.encodeWorker(call.request);
        http.timeout = call.timeout;
        // A process that was paused after the decision must not send an outdated call.
        http.notAfter = call.request.notAfter;
        const auto pending
                = std::make_shared<Pending>(Pending {call.id, std::move(call.request), false});
        http.handler = [this, pending](HttpResponse &&response) {
            WorkerReply received = protocol_.decodeWorker(pending->request, std::move(response));
            const std::optional<ServerIdentity> identity = identityOf(received.incarnation);
            reply(pending->id, std::move(received), pending->isIdentified);
            return identity;
        };
        const Address &to = pending->request.address;
        if (pending->request.incarnation)
            client_.call(to, std::move(http), identificationFor(pending));
        else
            client_.call(to, std::move(http));
    }

    static std::optional<ServerIdentity> identityOf(std::optional<WorkerIncarnation> incarnation)
    {
        return incarnation ? std::optional(ServerIdentity(incarnation->value())) : std::nullopt;
    }

    HttpIdentification identificationFor(const std::shared_ptr<Pending> &pending)
    {
        return {*identityOf(pending->request.incarnation),
                [this, pending] { return protocol_.encodeWorker(readOf(pending->request)); },
                [this, pending](HttpResponse &&response) {
                    return onIdentified(*pending, std::move(response));
                }};
    }

    /// Returns a request that reads the worker's state and changes nothing.
    static WorkerRequest readOf(const WorkerRequest &request)
    {
        return {request.worker, request.address, request.token, WorkerHeartbeat {}};
    }

    /// Returns the identity of the process that has answered, and completes the call when this is
    /// not the intended one. A worker that does not name its incarnation is taken for the intended
    /// one.
    std::optional<ServerIdentity> onIdentified(Pending &pending, HttpResponse &&response)
    {
        const bool isSent = response.outcome != HttpOutcome::NotSent;
        WorkerReply read = protocol_.decodeWorker(readOf(pending.request), std::move(response));
        const std::optional<WorkerIncarnation> intended = pending.request.incarnation;
        pending.isIdentified = isSent;
        if (read.outcome == WorkerOutcome::Done
            && read.incarnation.value_or(*intended) == *intended)
            return identityOf(intended);
        if (read.outcome == WorkerOutcome::Done)
            read.outcome = WorkerOutcome::OtherIncarnation;
        else if (read.outcome == WorkerOutcome::Unanswered)
            read.outcome = WorkerOutcome::NotSent;
        // The lists answer no request of the decisions.
        read.running.clear();
        read.completed.clear();
        const std::optional<ServerIdentity> identity = identityOf(read.incarnation);
        reply(pending.id, std::move(read), isSent);
        return identity == identityOf(intended) ? std::nullopt : identity;
    }

    void send(const ApprovalCall &call)
    {
        client_.call(approvals_, protocol_.encodeApproval(call.request), call.timeout,
                     [this, id = call.id](HttpResponse &&response) {
                         events_.offer(CellEvent(ApprovalReplied {
                                 id, protocol_.decodeApproval(std::move(response))}));
                     });
    }

    CellEventRing &events_;
    const Clock &clock_;
    Address approvals_;
    Protocol protocol_;
    IoThread thread_;
    AsyncHttpClient client_;
    IoThreadRing<Call> calls_;
    boost::asio::steady_timer servedTimer_;
    std::atomic<std::int64_t> servedAtMs_ = 0;
};

} // namespace caraway::cell
