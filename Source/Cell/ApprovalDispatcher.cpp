#include "Cell/ApprovalDispatcher.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// An instance without contact for this long is sent no requests.
constexpr Milliseconds peerTimeout {2500};
/// Added to the service time for two network transfers and a busy instance.
constexpr Milliseconds replyMargin {600};
/// An instance that did not answer is sent no requests for this long.
constexpr Milliseconds failureBackoff {1500};
/// A request that takes longer is a long one: it would delay urgent requests queued behind it.
constexpr Milliseconds maxShortServiceTime {150};
/// One instance in this many, and at least one of several, serves short requests only.
constexpr std::size_t shortShareDivisor = 3;
/// Maximum number of short requests sent to one instance at a time; more than one, to hide the
/// network delay.
constexpr std::size_t maxShortInFlight = 2;
/// Maximum number of queued long requests.
constexpr std::size_t maxLongQueued = 2;
/// Maximum service time, for each instance, of the short requests queued ahead of a new one, and
/// maximum time for which the oldest has waited. A request that waited longer would name workers
/// chosen by an outdated state of the cell.
constexpr Milliseconds maxShortQueueTime {200};

} // namespace

ApprovalDispatcher::ApprovalDispatcher(CellContext &context)
    : context_(context)
    , lastNumber_(numberBeforeFirst(context.self()))
{
}

void ApprovalDispatcher::clear()
{
    requests_.clear();
    queue_.clear();
    instances_.clear();
}

void ApprovalDispatcher::onPeerContact(const Address &peer)
{
    instances_[peer].lastContactAt = context_.now();
}

void ApprovalDispatcher::onPeerLost(const Address &peer)
{
    instances_.erase(peer);
    std::vector<std::uint64_t> lost;
    for (const auto &[number, request] : requests_) {
        if (request.instance == peer)
            lost.push_back(number);
    }
    for (const std::uint64_t number : lost)
        finish(number, {});
}

void ApprovalDispatcher::onPeerReply(const PeerApprovalReply &reply)
{
    finish(reply.number, reply.reply);
}

void ApprovalDispatcher::finish(std::uint64_t number, const ApprovalReply &reply)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const Request request = std::move(found->second);
    requests_.erase(found);
    const auto instance = request.instance ? instances_.find(*request.instance) : instances_.end();
    if (instance != instances_.end()) {
        instance->second.inFlight -= std::min<std::size_t>(instance->second.inFlight, 1);
        if (request.serviceTime > maxShortServiceTime)
            instance->second.hasLongRequest = false;
        if (!reply.answered)
            instance->second.avoidUntil = context_.now() + failureBackoff;
    }
    request.handler(reply);
    dispatch();
}

void ApprovalDispatcher::tick(TimePoint time)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[number, request] : requests_) {
        if (request.instance && time >= request.expiresAt)
            expired.push_back(number);
    }
    for (const std::uint64_t number : expired)
        finish(number, {});
    dispatch();
}

bool ApprovalDispatcher::isAvailable(const Address &address, const InstanceState &instance) const
{
    const bool isContactCurrent
            = address == self() || context_.now() - instance.lastContactAt < peerTimeout;
    return isContactCurrent && context_.now() >= instance.avoidUntil;
}

Milliseconds ApprovalDispatcher::queuedServiceTime() const
{
    Milliseconds total;
    for (const auto &[priority, queued] : queue_) {
        total += queued.shortServiceTime;
        for (const std::uint64_t number : queued.longOnes)
            total += requests_.at(number).serviceTime;
    }
    return total;
}

/// Called for each step that lacks approvals, so its cost must not grow with the queue.
bool ApprovalDispatcher::canQueue(Milliseconds serviceTime, std::int64_t priority) const
{
    const bool isLong = serviceTime > maxShortServiceTime;
    std::size_t longAhead = 0;
    Milliseconds shortAhead;
    for (auto ahead = queue_.begin(); ahead != queue_.end() && ahead->first <= priority; ++ahead) {
        const QueuedRequests &queued = ahead->second;
        longAhead += queued.longOnes.size();
        shortAhead += queued.shortServiceTime;
        if (isLong || queued.shortOnes.empty())
            continue;
        const Request &oldest = requests_.at(*queued.shortOnes.begin());
        if (context_.now() - oldest.queuedAt >= maxShortQueueTime)
            return false;
    }
    if (isLong)
        return longAhead < maxLongQueued;
    return shortAhead < maxShortQueueTime * static_cast<std::int64_t>(instances_.size());
}

void ApprovalDispatcher::addToQueue(std::uint64_t number, const Request &request)
{
    QueuedRequests &queued = queue_[request.priority];
    if (request.serviceTime > maxShortServiceTime) {
        queued.longOnes.insert(number);
        return;
    }
    queued.shortOnes.insert(number);
    queued.shortServiceTime += request.serviceTime;
}

void ApprovalDispatcher::removeFromQueue(std::uint64_t number, const Request &request)
{
    QueuedRequests &queued = queue_[request.priority];
    if (queued.shortOnes.erase(number) > 0)
        queued.shortServiceTime -= request.serviceTime;
    queued.longOnes.erase(number);
}

std::optional<Address> ApprovalDispatcher::chooseInstance(bool isLong) const
{
    std::size_t available = 0;
    std::size_t withLong = 0;
    const InstanceState *best = nullptr;
    std::optional<Address> chosen;
    for (const auto &[address, instance] : instances_) {
        if (!isAvailable(address, instance))
            continue;
        ++available;
        withLong += instance.hasLongRequest ? 1 : 0;
        const std::size_t limit = isLong || instance.hasLongRequest ? 1 : maxShortInFlight;
        if (instance.inFlight >= limit || (best && best->inFlight <= instance.inFlight))
            continue;
        best = &instance;
        chosen = address;
    }
    const std::size_t reservedForShort
            = available > 1 ? std::max<std::size_t>(1, available / shortShareDivisor) : 0;
    if (isLong && withLong + reservedForShort >= available)
        return std::nullopt;
    return chosen;
}

void ApprovalDispatcher::dispatch()
{
    instances_.try_emplace(self());
    bool isFull = false;
    bool isFullForLong = false;
    for (const auto &[priority, queued] : queue_) {
        while (!isFull) {
            const auto nextShort = queued.shortOnes.begin();
            const auto nextLong = isFullForLong ? queued.longOnes.end() : queued.longOnes.begin();
            const bool hasShort = nextShort != queued.shortOnes.end();
            const bool hasLong = nextLong != queued.longOnes.end();
            if (!hasShort && !hasLong)
                break;
            const bool isLong = hasLong && (!hasShort || *nextLong < *nextShort);
            const std::optional<Address> instance = chooseInstance(isLong);
            if (!instance) {
                (isLong ? isFullForLong : isFull) = true;
                continue;
            }
            const std::uint64_t number = isLong ? *nextLong : *nextShort;
            Request &request = requests_.at(number);
            removeFromQueue(number, request);
            send(number, request, *instance);
        }
    }
}

void ApprovalDispatcher::send(std::uint64_t number, Request &request, const Address &address)
{
    InstanceState &instance = instances_.at(address);
    ++instance.inFlight;
    instance.hasLongRequest |= request.serviceTime > maxShortServiceTime;
    const Milliseconds timeout
            = request.serviceTime * static_cast<std::int64_t>(instance.inFlight) + replyMargin;
    request.instance = address;
    request.expiresAt = context_.now() + timeout;
    if (address != self()) {
        context_.send(address, PeerApprovalRequest {number, request.request, timeout});
        return;
    }
    context_.callApprovals(request.request, timeout,
                           [this, number](const ApprovalReply &reply) { finish(number, reply); });
}

void ApprovalDispatcher::queueRequest(ApprovalRequest request, Milliseconds serviceTime,
                                      std::int64_t priority, ReplyHandler handler)
{
    requests_[++lastNumber_] = {std::move(request), serviceTime, priority, std::move(handler),
                                context_.now(),     {},          {}};
    addToQueue(lastNumber_, requests_.at(lastNumber_));
    dispatch();
}

} // namespace caraway::cell
