#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Until something is learned, half of the workers are taken to be approved.
constexpr double defaultApprovalShare = 0.5;
/// Weight of the newest answer in the learned share.
constexpr double approvalLearningRate = 0.1;
/// Beyond what the learned share asks for, as answers vary.
constexpr double askReserve = 1.5;
/// A gang's questions are long, so it asks once for several times its seats and then waits for
/// room on the workers that are approved.
constexpr double gangAskReserve = 4;
constexpr std::size_t askAtLeast = 3;
/// A ticket is used up to this long before it expires, for the way to the worker.
constexpr Milliseconds ticketMargin {200};
constexpr Milliseconds askPause {60};
constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

bool CellScheduler::needsApproval(const Queue &queue) const
{
    return queue.approval.has_value() && context_.settings().approvals.port != 0;
}

bool CellScheduler::isApproved(const WorkerSlot &slot, const StartCandidate &candidate) const
{
    return !needsApproval(*candidate.queue)
            || candidate.step->approvals.isApproved(slot.worker->number());
}

bool CellScheduler::hasTicket(const WorkerSlot &slot, const StartCandidate &candidate) const
{
    return !needsApproval(*candidate.queue)
            || candidate.step->approvals.validTicket(slot.worker->number(), context_.now());
}

double &CellScheduler::approvalShareOf(const QueueId &queue)
{
    return approvalShare_.try_emplace(queue, defaultApprovalShare).first->second;
}

/// Names workers of \a unknown, those with most room first, until the seats that are likely to be
/// approved reach \a wanted.
std::vector<WorkerId> CellScheduler::nameWorkers(const StartCandidate &candidate,
                                                 std::vector<UnknownWorker> unknown, double wanted)
{
    std::make_heap(unknown.begin(), unknown.end());
    const double share = approvalShareOf(candidate.queue->id);
    double expected = 0;
    std::vector<WorkerId> named;
    while (!unknown.empty() && named.size() < maxAskedWorkers) {
        if (expected >= wanted && named.size() >= askAtLeast)
            break;
        std::pop_heap(unknown.begin(), unknown.end());
        named.push_back(unknown.back().worker->id());
        expected += static_cast<double>(unknown.back().seats) * share;
        unknown.pop_back();
    }
    return named;
}

/// Workers known to be approved whose tickets have run out, when they have room for all tasks;
/// else as many unknown ones as are likely to give that room.
void CellScheduler::askForTasks(const StartCandidate &candidate, std::int64_t tasks)
{
    if (!needsApproval(*candidate.queue))
        return;
    const bool isCovered = pass_.askable > Millicores();
    pass_.askable -= candidate.step->spec.need.processors * tasks;
    if (!isCovered || !isAskDue(candidate))
        return;
    const CellStep &step = *candidate.step;
    std::vector<UnknownWorker> unknown;
    std::vector<WorkerId> expired;
    std::int64_t seats = 0;
    for (const WorkerSlot &slot : pass_.slots) {
        const WorkerNumber number = slot.worker->number();
        if (!mayRun(slot, candidate) || step.approvals.isDenied(number))
            continue;
        const std::int64_t room = roomFor(slot, step);
        if (room <= 0)
            continue;
        if (!step.approvals.isApproved(number)) {
            unknown.push_back({step.spec.need.dominantShareOf(slot.room), room, slot.worker});
            continue;
        }
        if (seats < tasks && !hasTicket(slot, candidate))
            expired.push_back(slot.worker->id());
        seats += room;
    }
    if (seats >= tasks) {
        ask(candidate, std::move(expired));
        return;
    }
    const double wanted = static_cast<double>(tasks) * askReserve - static_cast<double>(seats);
    std::vector<WorkerId> named = nameWorkers(candidate, std::move(unknown), wanted);
    if (named.size() + expired.size() <= maxAskedWorkers)
        named.insert(named.end(), expired.begin(), expired.end());
    ask(candidate, std::move(named));
}

/// Names workers that are not known, beside those of \a known that need a ticket: as many as are
/// likely to seat the gang several times over when they are empty, or else those that can seat the
/// \a missing members now.
void CellScheduler::askForGang(const StartCandidate &candidate, std::int64_t missing,
                               std::vector<WorkerId> known)
{
    if (!needsApproval(*candidate.queue) || !isAskDue(candidate))
        return;
    const CellStep &step = *candidate.step;
    std::vector<UnknownWorker> whenEmpty;
    std::vector<UnknownWorker> now;
    std::int64_t approvedSeats = 0;
    std::int64_t freeSeats = 0;
    for (const WorkerSlot &slot : pass_.slots) {
        const WorkerNumber number = slot.worker->number();
        if (!mayRun(slot, candidate) || step.approvals.isDenied(number))
            continue;
        const std::int64_t seats
                = step.spec.need.timesIn(slot.worker->entry->capacity, step.spec.tasks);
        if (step.approvals.isApproved(number)) {
            approvedSeats += seats;
            continue;
        }
        const double shareTaken = step.spec.need.dominantShareOf(slot.room);
        const std::int64_t free = roomFor(slot, step);
        freeSeats += free;
        if (seats > 0)
            whenEmpty.push_back({shareTaken, seats, slot.worker});
        if (free > 0)
            now.push_back({shareTaken, free, slot.worker});
    }
    const double wanted = static_cast<double>(step.spec.tasks) * gangAskReserve
            - static_cast<double>(approvedSeats);
    const double likely = static_cast<double>(freeSeats) * approvalShareOf(candidate.queue->id);
    std::vector<WorkerId> named;
    if (wanted > 0)
        named = nameWorkers(candidate, std::move(whenEmpty), wanted);
    else if (likely >= static_cast<double>(missing))
        named = nameWorkers(candidate, std::move(now), static_cast<double>(missing) * askReserve);
    for (WorkerId &id : known) {
        if (named.size() < maxAskedWorkers)
            named.push_back(std::move(id));
    }
    ask(candidate, std::move(named));
}

bool CellScheduler::isAskDue(const StartCandidate &candidate) const
{
    const StepApprovals &approvals = candidate.step->approvals;
    return !approvals.asking && context_.now() >= approvals.nextAsk
            && approvals_.mayAsk(candidate.queue->approval->perDecision, candidate.queue->priority);
}

void CellScheduler::ask(const StartCandidate &candidate, std::vector<WorkerId> workers)
{
    StepApprovals &approvals = candidate.step->approvals;
    if (workers.empty()) {
        approvals.nextAsk = context_.now() + askPause;
        return;
    }
    const ApprovalTerms &terms = *candidate.queue->approval;
    const auto named = static_cast<std::int64_t>(workers.size());
    const Milliseconds cost = terms.perDecision
            + Milliseconds(terms.perWorkerMicroseconds * named / microsecondsPerMillisecond);
    approvals.asking = true;
    ApprovalRequest request {candidate.step->key, workers};
    approvals_.ask(std::move(request), cost, candidate.queue->priority,
                   [this, term = term_, key = candidate.step->key, asked = std::move(workers),
                    validity = terms.validity](const ApprovalReply &reply) {
                       if (term == term_ && active_)
                           onApproval(key, asked, validity, reply);
                   });
}

void CellScheduler::onApproval(const StepKey &key, const std::vector<WorkerId> &asked,
                               Milliseconds validity, const ApprovalReply &reply)
{
    CellJob *job = findJob(key.job);
    CellStep *step = job ? job->step(key.occurrence, key.step) : nullptr;
    if (!step)
        return;
    step->approvals.asking = false;
    context_.log("event=approval job={} step={} priority={} answered={} asked={} approved={} "
                 "ready_for_ms={}",
                 key.job.value(), key.step.value(), termsOf(*job).priority, reply.answered,
                 asked.size(), reply.approved.size(),
                 step->readySince ? (context_.now() - *step->readySince).count() : -1);
    step->approvals.nextAsk = context_.now() + askPause;
    changed_ = true;
    if (!reply.answered)
        return;
    for (const WorkerId &id : asked) {
        if (const CellWorker *worker = fleet_.worker(id))
            step->approvals.deny(worker->number());
    }
    const TimePoint validUntil = context_.now() + validity - ticketMargin;
    for (const Approval &approval : reply.approved) {
        if (const CellWorker *worker = fleet_.worker(approval.worker))
            step->approvals.approve(worker->number(), {approval.ticket, validUntil});
    }
    const double share = static_cast<double>(reply.approved.size())
            / static_cast<double>(std::max<std::size_t>(asked.size(), 1));
    double &learned = approvalShareOf(termsOf(*job).id);
    learned += (share - learned) * approvalLearningRate;
}

} // namespace caraway::cell
