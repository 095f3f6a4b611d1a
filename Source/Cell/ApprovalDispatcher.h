#pragma once

#include "Cell/CellContext.h"

#include <map>
#include <set>

namespace caraway::cell {

/// Queues approval requests and spreads them over all instances. The policy service serves one
/// call at a time for each instance, so each request goes to the instance with the fewest
/// requests in flight.
class ApprovalDispatcher
{
public:
    using ReplyHandler = std::function<void(const ApprovalReply &)>;

    explicit ApprovalDispatcher(CellContext &context);

    /// Records that the instance at \a peer can be reached.
    void onPeerContact(const Address &peer);
    void onPeerLost(const Address &peer);
    void onPeerReply(const PeerApprovalReply &reply);
    /// Ends the requests that were due before \a time; replies that were received before then have
    /// been handled.
    void tick(TimePoint time);
    void clear();

    /// Whether a request that takes the service \a serviceTime may be queued now. The queue is kept
    /// short, as the scheduler chooses the workers of a request better shortly before the request
    /// is sent.
    bool canQueue(Milliseconds serviceTime, std::int64_t priority) const;
    /// Total service time of the queued requests, as one instance would need it.
    Milliseconds queuedServiceTime() const;
    /// Queues a request that takes the service \a serviceTime; a lower \a priority is sent first.
    /// ApprovalReply::answered is false when no reply is received in time.
    void queueRequest(ApprovalRequest request, Milliseconds serviceTime, std::int64_t priority,
                      ReplyHandler handler);

private:
    struct InstanceState
    {
        TimePoint lastContactAt;
        /// No requests are sent to the instance before this time, as one was not answered.
        TimePoint avoidUntil;
        std::size_t inFlight = 0;
        bool hasLongRequest = false;
    };
    struct Request
    {
        ApprovalRequest request;
        Milliseconds serviceTime;
        std::int64_t priority = 0;
        ReplyHandler handler;
        TimePoint queuedAt;
        /// The instance that calls the service; nothing while the request is queued.
        std::optional<Address> instance;
        TimePoint expiresAt;
    };

    /// The queued requests of one priority.
    struct QueuedRequests
    {
        /// Numbers, in the order of arrival.
        std::set<std::uint64_t> shortOnes;
        std::set<std::uint64_t> longOnes;
        Milliseconds shortServiceTime;
    };

    Address self() const { return context_.settings().peers; }
    bool isAvailable(const Address &address, const InstanceState &instance) const;
    void finish(std::uint64_t number, const ApprovalReply &reply);
    /// Sends queued requests to instances that may take more.
    void dispatch();
    std::optional<Address> chooseInstance(bool isLong) const;
    void send(std::uint64_t number, Request &request, const Address &address);
    void addToQueue(std::uint64_t number, const Request &request);
    void removeFromQueue(std::uint64_t number, const Request &request);

    CellContext &context_;
    std::map<Address, InstanceState> instances_;
    std::uint64_t lastNumber_;
    std::map<std::uint64_t, Request> requests_;
    /// Requests that were not sent yet, by priority.
    std::map<std::int64_t, QueuedRequests> queue_;
};

} // namespace caraway::cell
