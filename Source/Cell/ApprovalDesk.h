#pragma once

#include "Cell/CellContext.h"

#include <map>

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

    /// How long a question asked now would wait for its turn.
    Milliseconds shortestQueue() const;
    /// Asks; \a cost is how long the service takes. The reply may be that nobody answered.
    void ask(ApprovalRequest request, Milliseconds cost, Continuation next);

private:
    struct Asker
    {
        TimePoint busyUntil;
        TimePoint heardAt;
    };
    struct Question
    {
        Address asker;
        TimePoint giveUpAt;
        Continuation next;
    };

    Address self() const { return context_.settings().peers; }
    void finish(std::uint64_t number, const ApprovalReply &reply);

    CellContext &context_;
    std::map<Address, Asker> askers_;
    std::uint64_t lastNumber_ = 0;
    std::map<std::uint64_t, Question> questions_;
};

} // namespace caraway::cell
