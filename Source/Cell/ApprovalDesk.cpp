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

} // namespace

ApprovalDesk::ApprovalDesk(CellContext &context)
    : context_(context)
{
}

void ApprovalDesk::clear()
{
    questions_.clear();
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
    const auto asker = askers_.find(question.asker);
    if (!reply.answered && asker != askers_.end())
        asker->second.busyUntil = context_.now() + failurePause;
    question.next(reply);
}

void ApprovalDesk::tick()
{
    std::vector<std::uint64_t> late;
    for (const auto &[number, question] : questions_) {
        if (context_.now() >= question.giveUpAt)
            late.push_back(number);
    }
    for (const std::uint64_t number : late)
        finish(number, {});
}

Milliseconds ApprovalDesk::shortestQueue() const
{
    const TimePoint now = context_.now();
    const auto own = askers_.find(self());
    Milliseconds shortest;
    if (own != askers_.end())
        shortest = std::max(Milliseconds(), own->second.busyUntil - now);
    for (const auto &[address, asker] : askers_) {
        if (address != self() && now - asker.heardAt < peerSilence)
            shortest = std::min(shortest, std::max(Milliseconds(), asker.busyUntil - now));
    }
    return shortest;
}

void ApprovalDesk::ask(ApprovalRequest request, Milliseconds cost, Continuation next)
{
    const TimePoint now = context_.now();
    auto chosen = askers_.try_emplace(self()).first;
    for (auto asker = askers_.begin(); asker != askers_.end(); ++asker) {
        const bool isPresent = asker->first == self() || now - asker->second.heardAt < peerSilence;
        if (isPresent && asker->second.busyUntil < chosen->second.busyUntil)
            chosen = asker;
    }
    Asker &asker = chosen->second;
    asker.busyUntil = std::max(asker.busyUntil, now) + cost;
    const TimePoint giveUpAt = asker.busyUntil + answerSlack;
    const std::uint64_t number = ++lastNumber_;
    questions_[number] = {chosen->first, giveUpAt, std::move(next)};
    if (chosen->first == self()) {
        context_.callApprovals(
                std::move(request), giveUpAt - now,
                [this, number](const ApprovalReply &reply) { finish(number, reply); });
        return;
    }
    context_.send(chosen->first, PeerApprovalRequest {number, std::move(request), giveUpAt - now});
}

} // namespace caraway::cell
