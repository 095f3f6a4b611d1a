#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// The assumed share of approved workers before the first reply for a queue.
constexpr double initialApprovalRate = 0.5;
/// Weight of the newest reply in the approval rate of a queue.
constexpr double approvalSmoothingFactor = 0.1;
/// Requested capacity as a multiple of the missing capacity, as the share of approved workers
/// varies.
constexpr double taskRequestFactor = 1.5;
/// Requests for a gang take long, so one request covers several times the capacity that the gang
/// needs; the gang then waits for free capacity on the approved workers.
constexpr double gangRequestFactor = 4;
constexpr std::size_t minWorkersPerRequest = 3;
/// A ticket is not used in the last part of its validity, as the start has to reach the worker
/// before it expires.
constexpr Milliseconds ticketMargin {200};
/// Minimum time between two approval requests for a step.
constexpr Milliseconds requestInterval {60};
constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

bool CellScheduler::needsApproval(const Queue &queue) const
{
    return queue.approval.has_value() && context_.settings().approvals.port != 0;
}

bool CellScheduler::hasTicket(const WorkerOption &option, const StartCandidate &candidate) const
{
    return !needsApproval(*candidate.queue)
            || candidate.step->approvals.validTicket(option.worker->number(), context_.now());
}

double &CellScheduler::approvalRateOf(const QueueId &queue)
{
    return approvalRates_.try_emplace(queue, initialApprovalRate).first->second;
}

/// Chooses workers of \a undecided, those with the most free capacity first, until the capacity
/// that is likely to be approved reaches \a needed tasks.
std::vector<WorkerId> CellScheduler::chooseWorkersToRequest(const StartCandidate &candidate,
                                                            std::vector<UndecidedWorker> undecided,
                                                            double needed)
{
    std::make_heap(undecided.begin(), undecided.end());
    const double approvalRate = approvalRateOf(candidate.queue->id);
    double expected = 0;
    std::vector<WorkerId> chosen;
    while (!undecided.empty() && chosen.size() < maxWorkersPerRequest) {
        if (expected >= needed && chosen.size() >= minWorkersPerRequest)
            break;
        std::pop_heap(undecided.begin(), undecided.end());
        chosen.push_back(undecided.back().worker->id());
        expected += static_cast<double>(undecided.back().tasks) * approvalRate;
        undecided.pop_back();
    }
    return chosen;
}

bool CellScheduler::fitsAnyWorker(const StartCandidate &candidate) const
{
    const Resources needed = candidate.step->spec.allocation();
    return candidate.eligible->containsAny([&](const WorkerOption &option) {
        return mayRun(option, candidate) && needed.fitsIn(option.worker->entry->capacity);
    });
}

void CellScheduler::recordDecision(const StartCandidate &candidate, ApprovalDecision decision)
{
    candidate.step->approvals.requestDecision = decision;
    ++pass_.report.approvalDecisions[static_cast<std::size_t>(decision)];
}

void CellScheduler::requestTaskApprovals(const StartCandidate &candidate, std::int64_t tasks)
{
    if (needsApproval(*candidate.queue))
        recordDecision(candidate, decideOnTaskRequest(candidate, tasks));
}

ApprovalDecision CellScheduler::decideOnTaskRequest(const StartCandidate &candidate,
                                                    std::int64_t tasks)
{
    if (!fitsAnyWorker(candidate))
        return ApprovalDecision::TooLarge;
    const StepSpec &spec = candidate.step->spec;
    if (spec.allocation().processors > Millicores()) {
        const Earmark earmark = earmarkCapacity(candidate, tasks);
        // Of a long-running step only a few tasks wait at a time, so capacity for them is found
        // soon.
        if (earmark.tasks == 0 && !spec.longRunning)
            return earmark.obstacle;
    }
    if (const auto obstacle = requestObstacle(candidate))
        return *obstacle;
    if (!mayFit(candidate)) {
        queueApprovalRequest(candidate, {}, tasks);
        return ApprovalDecision::NoRoom;
    }
    return requestMissingApprovals(candidate, tasks);
}

CellScheduler::Earmark CellScheduler::earmarkCapacity(const StartCandidate &candidate,
                                                      std::int64_t tasks)
{
    const CellStep &step = *candidate.step;
    const Resources &need = step.spec.need;
    Earmark earmark;
    earmark.obstacle = mayFit(candidate) ? ApprovalDecision::Earmarked : ApprovalDecision::NoRoom;
    if (!candidate.eligible->unmetByAvailable.mayFit(need))
        return earmark;
    bool fitsAny = false;
    candidate.eligible->visitAvailable([&](WorkerOption &option) {
        ++pass_.report.workerChecks;
        const Resources available = option.available();
        if (!need.fitsIn(available))
            return true;
        fitsAny = true;
        if (step.approvals.isDenied(option.worker->number())) {
            earmark.obstacle = ApprovalDecision::Denied;
            return true;
        }
        const std::int64_t fitting
                = mayPlace(option, candidate) ? fittingTasks(option, available, step) : 0;
        if (fitting == 0 && earmark.obstacle != ApprovalDecision::Denied)
            earmark.obstacle = ApprovalDecision::Restricted;
        const std::int64_t earmarked = std::min(fitting, tasks - earmark.tasks);
        // The policy service may fail for this step only.
        if (!step.approvals.isUnanswered)
            option.earmarked += need * earmarked;
        earmark.tasks += earmarked;
        return earmark.tasks < tasks;
    });
    if (!fitsAny)
        recordUnmet(candidate);
    return earmark;
}

void CellScheduler::recordUnmet(const StartCandidate &candidate)
{
    EligibleWorkers &eligible = *candidate.eligible;
    const Resources &need = candidate.step->spec.need;
    eligible.unmetByAvailable.add(need);
    const auto fits = [&](const WorkerOption &option) { return need.fitsIn(option.free); };
    if (!eligible.containsAny(fits))
        eligible.unmetByFree.add(need);
}

/// Requests new tickets for approved workers whose tickets have expired. If the approved workers
/// have too little free capacity for all tasks, also requests decisions on as many workers as are
/// likely to provide the rest.
ApprovalDecision CellScheduler::requestMissingApprovals(const StartCandidate &candidate,
                                                        std::int64_t tasks)
{
    const CellStep &step = *candidate.step;
    bool fitsAny = false;
    std::vector<UndecidedWorker> undecided;
    std::vector<WorkerId> expired;
    std::int64_t approvedCapacity = 0;
    pass_.report.workerChecks += candidate.eligible->options().size();
    for (const WorkerOption *eligible : candidate.eligible->options()) {
        const WorkerOption &option = *eligible;
        if (!fitsFree(option, step))
            continue;
        fitsAny = true;
        const WorkerNumber number = option.worker->number();
        if (step.approvals.isDenied(number) || !mayPlace(option, candidate))
            continue;
        if (!step.approvals.isApproved(number)) {
            const Resources unrequested = option.free - option.requested;
            const std::int64_t fitting = fittingTasks(option, unrequested, step);
            if (fitting > 0) {
                undecided.push_back(
                        {step.spec.need.dominantShareOf(unrequested), fitting, option.worker});
            }
            continue;
        }
        const std::int64_t fitting = fittingTasks(option, step);
        if (fitting <= 0)
            continue;
        if (approvedCapacity < tasks && !hasTicket(option, candidate))
            expired.push_back(option.worker->id());
        approvedCapacity += fitting;
    }
    if (!fitsAny && !step.spec.fillsIdleTime)
        candidate.eligible->unmetByFree.add(step.spec.need);
    if (approvedCapacity >= tasks) {
        return queueApprovalRequest(candidate, std::move(expired), tasks)
                ? ApprovalDecision::Queued
                : ApprovalDecision::Sufficient;
    }
    const double needed = static_cast<double>(tasks) * taskRequestFactor
            - static_cast<double>(approvedCapacity);
    std::vector<WorkerId> chosen = chooseWorkersToRequest(candidate, std::move(undecided), needed);
    if (chosen.size() + expired.size() <= maxWorkersPerRequest)
        chosen.insert(chosen.end(), expired.begin(), expired.end());
    return queueApprovalRequest(candidate, std::move(chosen), tasks) ? ApprovalDecision::Queued
                                                                     : ApprovalDecision::Earmarked;
}

/// Requests decisions on further workers, and tickets for the approved ones in \a withoutTicket.
/// Further workers are requested until the approved ones are likely to have, when other tasks end,
/// several times the capacity that the gang needs. After that, further workers are requested only
/// if their free capacity is likely to suffice for the \a missing members.
void CellScheduler::requestGangApprovals(const StartCandidate &candidate, std::int64_t missing,
                                         const std::vector<GangCapacity> &approved,
                                         std::vector<WorkerId> withoutTicket)
{
    if (!needsApproval(*candidate.queue))
        return;
    if (const auto obstacle = requestObstacle(candidate)) {
        recordDecision(candidate, *obstacle);
        return;
    }
    const CellStep &step = *candidate.step;
    std::int64_t approvedCapacity = 0;
    for (const GangCapacity &capacity : approved)
        approvedCapacity += capacity.total;
    const double needed = static_cast<double>(step.spec.tasks) * gangRequestFactor
            - static_cast<double>(approvedCapacity);
    const double approvalRate = approvalRateOf(candidate.queue->id);
    std::vector<WorkerId> chosen;
    // Without enough free processors in the whole fleet, no undecided worker has to be looked at.
    const bool mayHaveFreeCapacity = static_cast<double>(pass_.free.count()) * approvalRate
            >= static_cast<double>((step.spec.allocation().processors * missing).count());
    if (needed > 0) {
        chosen = chooseWorkersToRequest(candidate, undecidedWorkers(candidate, false), needed);
    } else if (mayHaveFreeCapacity) {
        std::vector<UndecidedWorker> undecided = undecidedWorkers(candidate, true);
        std::int64_t freeCapacity = 0;
        for (const UndecidedWorker &worker : undecided)
            freeCapacity += worker.tasks;
        if (static_cast<double>(freeCapacity) * approvalRate >= static_cast<double>(missing))
            chosen = chooseWorkersToRequest(candidate, std::move(undecided),
                                            static_cast<double>(missing) * taskRequestFactor);
    }
    for (WorkerId &id : withoutTicket) {
        if (chosen.size() < maxWorkersPerRequest)
            chosen.push_back(std::move(id));
    }
    recordDecision(candidate,
                   queueApprovalRequest(candidate, std::move(chosen), 0)
                           ? ApprovalDecision::Queued
                           : ApprovalDecision::NoRoom);
}

void CellScheduler::requestGangTickets(const StartCandidate &candidate,
                                       std::vector<WorkerId> withoutTicket)
{
    if (!needsApproval(*candidate.queue))
        return;
    if (const auto obstacle = requestObstacle(candidate)) {
        recordDecision(candidate, *obstacle);
        return;
    }
    recordDecision(candidate,
                   queueApprovalRequest(candidate, std::move(withoutTicket), 0)
                           ? ApprovalDecision::Queued
                           : ApprovalDecision::Sufficient);
}

/// The workers on which the policy service has not decided, with the members of the gang that they
/// can run on their free capacity, or when other tasks end.
std::vector<CellScheduler::UndecidedWorker>
CellScheduler::undecidedWorkers(const StartCandidate &candidate, bool onFreeCapacity)
{
    const CellStep &step = *candidate.step;
    std::vector<UndecidedWorker> undecided;
    pass_.report.workerChecks += candidate.eligible->options().size();
    for (const WorkerOption *option : candidate.eligible->options()) {
        const WorkerNumber number = option->worker->number();
        if (step.approvals.isDenied(number) || step.approvals.isApproved(number)
            || !mayPlace(*option, candidate))
            continue;
        const std::int64_t tasks = onFreeCapacity
                ? fittingTasks(*option, step)
                : step.spec.need.timesIn(option->reclaimable, step.spec.tasks);
        if (tasks > 0)
            undecided.push_back(
                    {step.spec.need.dominantShareOf(option->free), tasks, option->worker});
    }
    return undecided;
}

std::optional<ApprovalDecision>
CellScheduler::requestObstacle(const StartCandidate &candidate) const
{
    const StepApprovals &approvals = candidate.step->approvals;
    if (approvals.hasOpenRequest)
        return ApprovalDecision::Open;
    if (context_.now() < approvals.nextRequestAt)
        return ApprovalDecision::NotDue;
    if (!approvalDispatcher_.canQueue(candidate.queue->approval->perRequest,
                                      candidate.queue->priority))
        return ApprovalDecision::QueueFull;
    return std::nullopt;
}

bool CellScheduler::queueApprovalRequest(const StartCandidate &candidate,
                                         std::vector<WorkerId> workers, std::int64_t tasks)
{
    StepApprovals &approvals = candidate.step->approvals;
    if (workers.empty()) {
        approvals.nextRequestAt = context_.now() + requestInterval;
        return false;
    }
    const ApprovalSettings &settings = *candidate.queue->approval;
    const auto count = static_cast<std::int64_t>(workers.size());
    const Milliseconds serviceTime = settings.perRequest
            + Milliseconds(settings.perWorkerMicroseconds * count / microsecondsPerMillisecond);
    approvals.hasOpenRequest = true;
    approvals.requestedAt = context_.now();
    RequestedWorkers requested;
    for (const WorkerId &id : workers) {
        if (const CellWorker *worker = fleet_.worker(id))
            requested.emplace(id, worker->number());
    }
    reserveRequested(candidate, requested, tasks);
    ApprovalRequest request {candidate.step->key, std::move(workers)};
    approvalDispatcher_.queueRequest(
            std::move(request), serviceTime, candidate.queue->priority,
            [this, term = term_, key = candidate.step->key, requested = std::move(requested),
             validity = settings.ticketValidity](const ApprovalReply &reply) {
                if (term == term_ && active_)
                    onApprovalReply(key, requested, validity, reply);
            });
    return true;
}

void CellScheduler::reserveRequested(const StartCandidate &candidate,
                                     const RequestedWorkers &workers, std::int64_t tasks)
{
    if (tasks == 0 || workers.empty())
        return;
    const auto count = static_cast<std::int64_t>(workers.size());
    const std::int64_t perWorker = (tasks + count - 1) / count;
    const CellStep &step = *candidate.step;
    RequestedCapacity requested;
    for (const auto &[id, number] : workers) {
        WorkerOption *option = pass_.options.find(number);
        if (!option)
            continue;
        const Resources likely
                = step.spec.allocation() * std::min(perWorker, fittingTasks(*option, step));
        requested.emplace_back(number, likely);
        if (requestedOnWorkers_.size() <= number.value())
            requestedOnWorkers_.resize(number.value() + 1);
        requestedOnWorkers_[number.value()] += likely;
        option->requested += likely;
    }
    requestedCapacity_.insert_or_assign(step.key, std::move(requested));
}

void CellScheduler::releaseRequested(const StepKey &key)
{
    const auto found = requestedCapacity_.find(key);
    if (found == requestedCapacity_.end())
        return;
    for (const auto &[number, requested] : found->second)
        requestedOnWorkers_[number.value()] -= requested;
    requestedCapacity_.erase(found);
}

void CellScheduler::onApprovalReply(const StepKey &key, const RequestedWorkers &requested,
                                    Milliseconds validity, const ApprovalReply &reply)
{
    releaseRequested(key);
    CellJob *job = findJob(key.job);
    CellStep *step = job ? job->step(key.occurrence, key.step) : nullptr;
    if (!step)
        return;
    step->approvals.hasOpenRequest = false;
    step->approvals.isUnanswered = !reply.answered;
    context_.log("event=approval_request_finished job={} step={} priority={} answered={} "
                 "workers_requested={} workers_approved={} ready_for_ms={}",
                 key.job.value(), key.step.value(), queueOf(*job).priority, reply.answered,
                 requested.size(), reply.approved.size(),
                 step->readySince ? (context_.now() - *step->readySince).count() : -1);
    step->approvals.nextRequestAt = context_.now() + requestInterval;
    passNeeded_ = true;
    if (!reply.answered)
        return;
    for (const auto &[id, number] : requested)
        step->approvals.deny(number);
    const TimePoint validUntil = context_.now() + validity - ticketMargin;
    for (const Approval &approval : reply.approved) {
        const auto found = requested.find(approval.worker);
        if (found != requested.end())
            step->approvals.approve(found->second, {approval.ticket, validUntil});
    }
    const double approvedShare = static_cast<double>(reply.approved.size())
            / static_cast<double>(std::max<std::size_t>(requested.size(), 1));
    double &approvalRate = approvalRateOf(queueOf(*job).id);
    approvalRate += (approvedShare - approvalRate) * approvalSmoothingFactor;
}

} // namespace caraway::cell
