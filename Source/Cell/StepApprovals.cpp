#include "Cell/StepApprovals.h"

#include <algorithm>

namespace caraway::cell {

const StepApprovals::Ticket *StepApprovals::validTicket(WorkerNumber worker, TimePoint at) const
{
    if (!isApproved(worker) || !hasValidTickets(at))
        return nullptr;
    const Ticket &ticket = approvedWorkers_[positionOf(worker)].ticket;
    return at < ticket.validUntil ? &ticket : nullptr;
}

void StepApprovals::approve(WorkerNumber worker, Ticket ticket)
{
    latestExpiry_ = std::max(latestExpiry_, ticket.validUntil);
    const auto position = static_cast<std::ptrdiff_t>(positionOf(worker));
    if (isApproved(worker)) {
        approvedWorkers_[static_cast<std::size_t>(position)].ticket = std::move(ticket);
        return;
    }
    approvedWorkers_.insert(approvedWorkers_.begin() + position, {worker, std::move(ticket)});
    setDecision(worker, Decision::Approved);
}

void StepApprovals::withdraw(WorkerNumber worker, Decision decision)
{
    if (isApproved(worker)) {
        const auto position = static_cast<std::ptrdiff_t>(positionOf(worker));
        approvedWorkers_.erase(approvedWorkers_.begin() + position);
    }
    setDecision(worker, decision);
}

std::size_t StepApprovals::positionOf(WorkerNumber worker) const
{
    const auto found = std::lower_bound(approvedWorkers_.begin(), approvedWorkers_.end(), worker,
                                        [](const ApprovedWorker &approved, WorkerNumber number) {
                                            return approved.worker < number;
                                        });
    return static_cast<std::size_t>(found - approvedWorkers_.begin());
}

void StepApprovals::setDecision(WorkerNumber worker, Decision decision)
{
    if (decisions_.size() <= worker.value())
        decisions_.resize(worker.value() + 1, Decision::Unknown);
    decisions_[worker.value()] = decision;
}

} // namespace caraway::cell
