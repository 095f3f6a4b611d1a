#include "Cell/ApprovalDesk.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// An instance that was not heard for this long is asked nothing.
constexpr Milliseconds peerSilence {2500};
/// Beyond the service's own time: two network ways and a busy instance.
constexpr Milliseconds answerSlack {600};
/// An instance that did not answer is passed over for this long.
constexpr Milliseconds failurePause {1500};
/// A longer question would keep urgent ones waiting behind it.
constexpr Milliseconds longCost {150};
/// Long questions leave this part of the instances to short ones.
constexpr std::size_t shortShareDivisor = 3;
/// Short questions that one instance may have under way, to cover the way to it.
constexpr std::size_t maxShortUnderWay = 2;
/// Long questions that may wait for an instance.
constexpr std::size_t maxLongWaiting = 2;
/// Short ones wait this long at most; those further back are better chosen when their turn comes.
constexpr Milliseconds shortWait {200};

} // namespace

ApprovalDesk::ApprovalDesk(CellContext &context)
    : context_(context)
{
}

void ApprovalDesk::clear()
{
    questions_.clear();
    waiting_.clear();
    askers_.clear();
}

void ApprovalDesk::onPeer(const Address &peer)
{
    askers_[peer].heardAt = context_.now();
}

void ApprovalDesk::onPeerLost(const Address &peer)
{
    askers_.erase(peer);
    std::vector<std::uint64_t> lost;
    for (const auto &[number, question] : questions_) {
        if (question.asker == peer)
            lost.push_back(number);
    }
    for (const std::uint64_t number : lost)
        finish(number, {});
}

void ApprovalDesk::onPeerReply(const PeerApprovalReply &reply)
{
    finish(reply.number, reply.reply);
}

void ApprovalDesk::finish(std::uint64_t number, const ApprovalReply &reply)
{
    const auto found = questions_.find(number);
    if (found == questions_.end())
        return;
    const Question question = std::move(found->second);
    questions_.erase(found);
    const auto asker = question.asker ? askers_.find(*question.asker) : askers_.end();
    if (asker != askers_.end()) {
        asker->second.underWay -= std::min<std::size_t>(asker->second.underWay, 1);
        if (question.cost > longCost)
            asker->second.hasLong = false;
        if (!reply.answered)
            asker->second.avoidUntil = context_.now() + failurePause;
    }
    question.next(reply);
    dispatch();
}

void ApprovalDesk::tick()
{
    std::vector<std::uint64_t> late;
    for (const auto &[number, question] : questions_) {
        if (question.asker && context_.now() >= question.giveUpAt)
            late.push_back(number);
    }
    for (const std::uint64_t number : late)
        finish(number, {});
    dispatch();
}

bool ApprovalDesk::isPresent(const Address &address, const Asker &asker) const
{
    const bool isHeard = address == self() || context_.now() - asker.heardAt < peerSilence;
    return isHeard && context_.now() >= asker.avoidUntil;
}

Milliseconds ApprovalDesk::waitingCost() const
{
    Milliseconds cost;
    for (const auto &[priority, number] : waiting_)
        cost += questions_.at(number).cost;
    return cost;
}

bool ApprovalDesk::mayAsk(Milliseconds cost, std::int64_t priority) const
{
    const bool isLong = cost > longCost;
    std::size_t longAhead = 0;
    Milliseconds shortAhead;
    for (const auto &[otherPriority, number] : waiting_) {
        if (otherPriority > priority)
            break;
        const Milliseconds other = questions_.at(number).cost;
        if (other > longCost)
            ++longAhead;
        else
            shortAhead += other;
    }
    if (isLong)
        return longAhead < maxLongWaiting;
    return shortAhead < shortWait * static_cast<std::int64_t>(askers_.size());
}

std::optional<Address> ApprovalDesk::freeAsker(bool isLong) const
{
    std::size_t present = 0;
    std::size_t withLong = 0;
    const Asker *best = nullptr;
    std::optional<Address> chosen;
    for (const auto &[address, asker] : askers_) {
        if (!isPresent(address, asker))
            continue;
        ++present;
        withLong += asker.hasLong ? 1 : 0;
        const std::size_t most = isLong || asker.hasLong ? 1 : maxShortUnderWay;
        if (asker.underWay >= most || (best && best->underWay <= asker.underWay))
            continue;
        best = &asker;
        chosen = address;
    }
    const std::size_t keptForShort
            = present > 1 ? std::max<std::size_t>(1, present / shortShareDivisor) : 0;
    if (isLong && withLong + keptForShort >= present)
        return std::nullopt;
    return chosen;
}

void ApprovalDesk::dispatch()
{
    askers_.try_emplace(self());
    bool isFull = false;
    bool isFullForLong = false;
    for (auto waiting = waiting_.begin(); waiting != waiting_.end() && !isFull;) {
        Question &question = questions_.at(waiting->second);
        const bool isLong = question.cost > longCost;
        if (isLong && isFullForLong) {
            ++waiting;
            continue;
        }
        const std::optional<Address> asker = freeAsker(isLong);
        if (!asker) {
            (isLong ? isFullForLong : isFull) = true;
            ++waiting;
            continue;
        }
        const std::uint64_t number = waiting->second;
        waiting = waiting_.erase(waiting);
        put(number, question, *asker);
    }
}

void ApprovalDesk::put(std::uint64_t number, Question &question, const Address &address)
{
    Asker &asker = askers_.at(address);
    ++asker.underWay;
    asker.hasLong |= question.cost > longCost;
    const Milliseconds timeout
            = question.cost * static_cast<std::int64_t>(asker.underWay) + answerSlack;
    question.asker = address;
    question.giveUpAt = context_.now() + timeout;
    if (address != self()) {
        context_.send(address, PeerApprovalRequest {number, question.request, timeout});
        return;
    }
    context_.callApprovals(question.request, timeout,
                           [this, number](const ApprovalReply &reply) { finish(number, reply); });
}

void ApprovalDesk::ask(ApprovalRequest request, Milliseconds cost, std::int64_t priority,
                       Continuation next)
{
    questions_[++lastNumber_] = {std::move(request), cost, priority, std::move(next), {}, {}};
    waiting_.emplace(priority, lastNumber_);
    dispatch();
}

} // namespace caraway::cell
