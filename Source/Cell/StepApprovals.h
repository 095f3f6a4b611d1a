#pragma once

#include "Cell/ApprovalDecision.h"
#include "Cell/CellTypes.h"

namespace caraway::cell {

/// Decisions of the policy service on the workers that may run one step, with their tickets.
class StepApprovals
{
public:
    struct Ticket
    {
        std::string text;
        TimePoint validUntil;
    };
    struct ApprovedWorker
    {
        WorkerNumber worker;
        Ticket ticket;
    };

    bool isApproved(WorkerNumber worker) const { return decisionOf(worker) == Decision::Approved; }
    bool isDenied(WorkerNumber worker) const { return decisionOf(worker) == Decision::Denied; }
    /// The approved workers in the order of their numbers; their tickets may have expired.
    const std::vector<ApprovedWorker> &approvedWorkers() const { return approvedWorkers_; }
    /// The ticket for \a worker; null when there is none that is valid at \a at.
    const Ticket *validTicket(WorkerNumber worker, TimePoint at) const;
    /// Whether a ticket is valid at \a at for any worker.
    bool hasValidTickets(TimePoint at) const { return at < latestExpiry_; }

    void approve(WorkerNumber worker, Ticket ticket);
    void deny(WorkerNumber worker) { withdraw(worker, Decision::Denied); }
    /// The worker refused the ticket, so that another approval request is needed.
    void clearDecision(WorkerNumber worker) { withdraw(worker, Decision::Unknown); }

    /// An approval request for the step is queued or in flight.
    bool hasOpenRequest = false;
    /// When the latest approval request was queued.
    TimePoint requestedAt;
    /// No approval request is queued before then.
    TimePoint nextRequestAt;
    /// Whether the latest request that ended was not answered.
    bool isUnanswered = false;
    /// What the latest pass decided about a request.
    ApprovalDecision requestDecision = ApprovalDecision::None;

private:
    enum class Decision : std::uint8_t { Unknown, Denied, Approved };

    Decision decisionOf(WorkerNumber worker) const
    {
        return worker.value() < decisions_.size() ? decisions_[worker.value()] : Decision::Unknown;
    }
    void setDecision(WorkerNumber worker, Decision decision);
    void withdraw(WorkerNumber worker, Decision decision);
    /// Position of the worker among the approved ones, or where it belongs.
    std::size_t positionOf(WorkerNumber worker) const;

    /// By worker number; a worker beyond the end has no decision yet.
    std::vector<Decision> decisions_;
    std::vector<ApprovedWorker> approvedWorkers_;
    TimePoint latestExpiry_;
};

} // namespace caraway::cell
