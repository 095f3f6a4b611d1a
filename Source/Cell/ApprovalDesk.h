#pragma once

#include "Cell/CellContext.h"

#include <map>
#include <set>

namespace caraway::cell {

/// Spreads the questions to the policy service over all instances. The service serves one call
/// at a time for each instance, so each question goes to the instance with the shortest queue.
class ApprovalDesk
{
public:
    using Continuation = std::function<void(const ApprovalReply &)>;

    explicit ApprovalDesk(CellContext &context);

    /// An instance can be reached there.
    void onPeer(const Address &peer);
    void onPeerLost(const Address &peer);
    void onPeerReply(const PeerApprovalReply &reply);
    void tick();
    void clear();

    /// Whether another question of this cost is worth putting now. Few wait here: the scheduler
    /// knows best which of the others still matters when their turn comes.
    bool mayAsk(Milliseconds cost, std::int64_t priority) const;
    /// How long the questions that wait would take one instance.
    Milliseconds waitingCost() const;
    /// Asks; \a cost is how long the service takes, and a lower \a priority goes first. The
    /// reply may be that nobody answered.
    void ask(ApprovalRequest request, Milliseconds cost, std::int64_t priority, Continuation next);

private:
    struct Asker
    {
        TimePoint heardAt;
        /// Not asked until then, after it did not answer.
        TimePoint avoidUntil;
        std::size_t underWay = 0;
        bool hasLong = false;
    };
    struct Question
    {
        ApprovalRequest request;
        Milliseconds cost;
        std::int64_t priority = 0;
        Continuation next;
        std::optional<Address> asker;
        TimePoint giveUpAt;
    };

    Address self() const { return context_.settings().peers; }
    bool isPresent(const Address &address, const Asker &asker) const;
    void finish(std::uint64_t number, const ApprovalReply &reply);
    /// Puts waiting questions to instances that are free.
    void dispatch();
    std::optional<Address> freeAsker(bool isLong) const;
    void put(std::uint64_t number, Question &question, const Address &asker);

    CellContext &context_;
    std::map<Address, Asker> askers_;
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, Question> questions_;
    /// Questions without an asker, by priority and number.
    std::set<std::pair<std::int64_t, std::uint64_t>> waiting_;
};

} // namespace caraway::cell
