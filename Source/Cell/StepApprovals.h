#pragma once

#include "Cell/CellTypes.h"

#include <unordered_map>

namespace caraway::cell {

/// What the policy service has said about the workers for one step.
class StepApprovals
{
public:
    struct Ticket
    {
        std::string text;
        TimePoint validUntil;
    };

    bool isApproved(WorkerNumber worker) const { return verdictOf(worker) == Verdict::Approved; }
    bool isDenied(WorkerNumber worker) const { return verdictOf(worker) == Verdict::Denied; }
    /// The ticket for \a worker; null when there is none that is valid at \a at.
    const std::string *validTicket(WorkerNumber worker, TimePoint at) const;
    /// Whether a ticket is valid at \a at for any worker.
    bool hasValidTickets(TimePoint at) const { return at < lastValidity_; }

    void approve(WorkerNumber worker, Ticket ticket);
    void deny(WorkerNumber worker) { setVerdict(worker, Verdict::Denied); }
    /// The worker refused the ticket, so that it has to be asked for again.
    void forget(WorkerNumber worker) { setVerdict(worker, Verdict::Unknown); }

    /// A question is under way.
    bool asking = false;
    TimePoint nextAsk;

private:
    enum class Verdict : std::uint8_t { Unknown, Denied, Approved };

    Verdict verdictOf(WorkerNumber worker) const
    {
        return worker.value() < verdicts_.size() ? verdicts_[worker.value()] : Verdict::Unknown;
    }
    void setVerdict(WorkerNumber worker, Verdict verdict);

    /// By the worker's number; those beyond the end are unknown.
    std::vector<Verdict> verdicts_;
    std::unordered_map<WorkerNumber, Ticket> tickets_;
    TimePoint lastValidity_;
};

} // namespace caraway::cell
