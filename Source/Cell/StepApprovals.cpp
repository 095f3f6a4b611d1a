#include "Cell/StepApprovals.h"

#include <algorithm>

namespace caraway::cell {

const std::string *StepApprovals::validTicket(WorkerNumber worker, TimePoint at) const
{
    if (!isApproved(worker) || !hasValidTickets(at))
        return nullptr;
    const Ticket &ticket = tickets_.at(worker);
    return at < ticket.validUntil ? &ticket.text : nullptr;
}

void StepApprovals::approve(WorkerNumber worker, Ticket ticket)
{
    setVerdict(worker, Verdict::Approved);
    lastValidity_ = std::max(lastValidity_, ticket.validUntil);
    tickets_[worker] = std::move(ticket);
}

void StepApprovals::setVerdict(WorkerNumber worker, Verdict verdict)
{
    if (verdicts_.size() <= worker.value())
        verdicts_.resize(worker.value() + 1, Verdict::Unknown);
    verdicts_[worker.value()] = verdict;
}

} // namespace caraway::cell
