#include "Cell/CellScheduler.h"

#include <cmath>
#include <tuple>

namespace caraway::cell {

namespace {

/// Most workers that one question to the policy service may name.
constexpr std::size_t maxAskedWorkers = 100;
/// Until something is learned, half of the workers are taken to be approved.
constexpr double defaultApprovalShare = 0.5;
/// Weight of the newest answer in the learned share.
constexpr double approvalLearningRate = 0.1;
/// Beyond what the learned share asks for, as answers vary.
constexpr double askReserve = 1.5;
constexpr double gangAskReserve = 4;
constexpr std::size_t askAtLeast = 3;
/// A ticket is used up to this long before it expires, for the way to the worker.
constexpr Milliseconds ticketMargin {200};
constexpr Milliseconds askPause {60};
/// Weight of the newest run in the mean duration of a queue's tasks.
constexpr double durationLearningRate = 0.05;
/// Runs of a term begin above those of all earlier terms.
constexpr unsigned runBits = 12;
constexpr std::int64_t percent = 100;
constexpr std::int64_t mostUrgent = 0;
/// Events of this time are placed together.
constexpr Milliseconds passInterval {15};
/// A backlog lengthens the interval, so that passes take a small part of the processor.
constexpr std::int64_t candidatesPerAddedMillisecond = 100;
/// More would keep room empty that smaller work can use meanwhile.
constexpr std::size_t maxCollectingGangs = 1;
constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

bool CellScheduler::isStartable(const CellJob &job, const CellStep &step) const
{
    if (!step.readySince || step.isDone() || isFinal(job.state()))
        return false;
    // A later holder may have started it.
    if (job.accepted().generation > generation_)
        return false;
    // An unread worker may run a task that an earlier holder started.
    if (!fleet_.isRecovered() && job.accepted().generation < generation_)
        return false;
    const std::size_t waiting = step.count(CellTask::State::Waiting);
    return step.spec.gang ? waiting == step.tasks.size() : waiting > 0;
}

TimePoint CellScheduler::objectiveOf(const CellJob &job, const Queue &queue) const
{
    return job.arrivedAt() + job.longestChain() * queue.stretchPercent / percent + queue.objective;
}

Milliseconds CellScheduler::remainingOf(const CellJob &job, Occurrence occurrence,
                                        const Queue &queue) const
{
    std::vector<Milliseconds> ends;
    Milliseconds longest;
    for (const CellStep &step : job.stepsOf(occurrence)) {
        Milliseconds end;
        for (const StepIndex before : step.spec.after) {
            if (before.value() < ends.size())
                end = std::max(end, ends[before.value()]);
        }
        if (!step.isDone())
            end = end + (step.spec.estimate + expectedDuration(queue.id, step.spec)) / 2;
        ends.push_back(end);
        longest = std::max(longest, end);
    }
    return longest;
}

std::vector<StartCandidate> CellScheduler::candidates()
{
    std::vector<StartCandidate> found;
    for (auto &[id, job] : jobs_) {
        for (CellStep &step : job->steps()) {
            if (!isStartable(*job, step))
                continue;
            const Queue &queue = termsOf(*job);
            found.push_back({job.get(), &step, &queue, objectiveOf(*job, queue),
                             remainingOf(*job, step.key.occurrence, queue)});
        }
    }
    std::sort(found.begin(), found.end(),
              [now = context_.now()](const StartCandidate &a, const StartCandidate &b) {
                  return Order::startsBefore(a, b, now);
              });
    return found;
}

void CellScheduler::noteArrival(const CellJob &job)
{
    const Queue &queue = termsOf(job);
    for (const StepSpec &step : job.accepted().spec.steps) {
        if (step.longRunning || step.fillsIdleTime)
            continue;
        headroom_.noteArrival(queue.priority, step.need.processors * step.tasks,
                              expectedDuration(queue.id, step), context_.now());
    }
}

void CellScheduler::learnDuration(const CellJob &job, const CellTask &task)
{
    // Of runs that an earlier holder started, the start is not known.
    const std::uint64_t firstOwnRun = generation_ << runBits;
    if (!task.isIn(CellTask::State::OnWorker) || task.run().value() <= firstOwnRun)
        return;
    const auto taken = static_cast<double>((context_.now() - task.placedAt()).count());
    const auto [found, isFirst] = durations_.try_emplace(termsOf(job).id, taken);
    if (!isFirst)
        found->second += (taken - found->second) * durationLearningRate;
}

Milliseconds CellScheduler::expectedDuration(const QueueId &queue, const StepSpec &step) const
{
    const auto found = durations_.find(queue);
    return found == durations_.end() ? step.estimate : Milliseconds(std::llround(found->second));
}

/// Takes down the room of all usable workers. The first workers, in the order of their names,
/// are kept for the most urgent work, so that the choice stays the same from pass to pass and
/// patient work drains from them.
void CellScheduler::beginPass()
{
    pass_ = {};
    Millicores missing = headroom_.wanted(context_.now());
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!fleet_.isUsable(worker))
            continue;
        WorkerSlot &slot = pass_.slots.emplace_back();
        slot.worker = &worker;
        slot.room = worker.room();
        pass_.askable += slot.room.processors;
        pass_.mostRoom = std::max(pass_.mostRoom, slot.room.processors);
        if (missing > Millicores()) {
            slot.heldFor = mostUrgent;
            missing -= worker.entry->capacity.processors;
        }
    }
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

void CellScheduler::reserveFor(const StartCandidate &candidate, std::int64_t tasks)
{
    const Resources &need = candidate.step->spec.need;
    std::vector<std::pair<double, WorkerSlot *>> suitable;
    for (WorkerSlot &slot : pass_.slots) {
        if (!mayRun(slot, candidate) || !isApproved(slot, candidate))
            continue;
        if (need.fitsIn(slot.worker->entry->capacity))
            suitable.emplace_back(need.dominantShareOf(slot.room), &slot);
    }
    std::sort(suitable.begin(), suitable.end());
    std::int64_t missing = tasks;
    for (const auto &[share, slot] : suitable) {
        if (missing <= 0)
            return;
        const std::int64_t seats = need.timesIn(slot->worker->entry->capacity, missing);
        for (std::int64_t i = 0; i < seats; ++i)
            slot->room -= need;
        missing -= seats;
    }
}

void CellScheduler::startWhatFits()
{
    beginPass();
    const std::vector<StartCandidate> waiting = candidates();
    for (const StartCandidate &candidate : waiting)
        startStep(candidate);
    const auto added = static_cast<std::int64_t>(waiting.size()) / candidatesPerAddedMillisecond;
    nextPass_ = context_.now() + passInterval + Milliseconds(added);
}

void CellScheduler::startStep(const StartCandidate &candidate)
{
    if (candidate.step->spec.gang)
        startGang(candidate);
    else
        startSingles(candidate);
}

bool CellScheduler::needsApproval(const Queue &queue) const
{
    return queue.approval.has_value() && context_.settings().approvals.port != 0;
}

bool CellScheduler::mayRun(const WorkerSlot &slot, const StartCandidate &candidate)
{
    const Label &required = candidate.step->spec.requiredLabel;
    if (slot.worker->entry->upstream != candidate.queue->upstream)
        return false;
    if (slot.heldFor && candidate.queue->priority > *slot.heldFor)
        return false;
    const std::vector<Label> &labels = slot.worker->entry->labels;
    return required.isEmpty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

std::int64_t CellScheduler::roomFor(const WorkerSlot &slot, const CellStep &step)
{
    Resources need = step.spec.need;
    std::int64_t most = step.spec.tasks;
    if (step.spec.maxPerWorker > 0) {
        most = step.spec.maxPerWorker;
        for (const Placement &placement : slot.worker->placements) {
            const TaskKey &task = placement.task;
            const bool isSameStep = task.job == step.key.job && task.step == step.key.step
                    && task.occurrence == step.key.occurrence;
            most -= isSameStep ? 1 : 0;
        }
    }
    if (step.spec.fillsIdleTime)
        need.processors = {};
    return most > 0 ? need.timesIn(slot.room, most) : 0;
}

CellScheduler::WorkerSlot *CellScheduler::bestSlot(const StartCandidate &candidate)
{
    const StepSpec &spec = candidate.step->spec;
    if (spec.need.processors > pass_.mostRoom && !spec.fillsIdleTime)
        return nullptr;
    WorkerSlot *best = nullptr;
    double bestValue = 0;
    Millicores mostRoom;
    for (WorkerSlot &slot : pass_.slots) {
        mostRoom = std::max(mostRoom, slot.room.processors);
        if (!spec.need.fitsIn(slot.room) && !spec.fillsIdleTime)
            continue;
        if (!mayRun(slot, candidate) || !hasTicket(slot, candidate)
            || roomFor(slot, *candidate.step) < 1) {
            continue;
        }
        const double value = Choice::suitability(*slot.worker, slot.room, spec);
        if (!best || value > bestValue) {
            best = &slot;
            bestValue = value;
        }
    }
    pass_.mostRoom = mostRoom;
    return best;
}

RunNumber CellScheduler::nextRun(const CellTask &task) const
{
    const std::uint64_t floor = generation_ << runBits;
    return RunNumber(std::max(task.run().value(), floor) + 1);
}

void CellScheduler::startSingles(const StartCandidate &candidate)
{
    CellStep &step = *candidate.step;
    const bool isWaitingForTickets
            = needsApproval(*candidate.queue) && !step.approvals.hasValidTickets(context_.now());
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!step.tasks[i].isIn(CellTask::State::Waiting))
            continue;
        WorkerSlot *slot = isWaitingForTickets ? nullptr : bestSlot(candidate);
        if (!slot) {
            askApproval(candidate, static_cast<std::int64_t>(step.count(CellTask::State::Waiting)));
            return;
        }
        startTask(candidate, i, nextRun(step.tasks[i]), *slot);
    }
}

void CellScheduler::startGang(const StartCandidate &candidate)
{
    CellStep &step = *candidate.step;
    std::vector<WorkerSlot *> seats;
    std::size_t approvedSeats = 0;
    for (WorkerSlot &slot : pass_.slots) {
        if (!mayRun(slot, candidate) || !isApproved(slot, candidate))
            continue;
        const auto room = static_cast<std::size_t>(roomFor(slot, step));
        approvedSeats += room;
        if (hasTicket(slot, candidate))
            seats.insert(seats.end(), std::min(room, step.tasks.size() - seats.size()), &slot);
    }
    if (seats.size() < step.tasks.size()) {
        askApproval(candidate, step.spec.tasks);
        const bool isSeated = approvedSeats >= step.tasks.size();
        // Its tickets are on their way, or room is collected for it.
        if (isSeated || pass_.collectingGangs < maxCollectingGangs)
            reserveFor(candidate, step.spec.tasks);
        pass_.collectingGangs += isSeated ? 0 : 1;
        return;
    }
    RunNumber run;
    for (const CellTask &task : step.tasks)
        run = std::max(run, nextRun(task));
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
        startTask(candidate, i, run, *seats[i]);
}

void CellScheduler::startTask(const StartCandidate &candidate, std::size_t index, RunNumber run,
                              WorkerSlot &slot)
{
    const CellWorker &worker = *slot.worker;
    CellStep &step = *candidate.step;
    CellTask &task = step.tasks[index];
    WorkerFleet::StartOrder order;
    order.task = step.taskKey(index);
    order.run = run;
    order.payload = candidate.job->accepted().spec.payload;
    order.checkpoint = step.spec.gang ? step.gangCheckpoint : task.checkpoint;
    order.need = step.spec.need;
    if (step.spec.fillsIdleTime)
        order.need.processors = {};
    if (const std::string *ticket = step.approvals.validTicket(worker.number(), context_.now()))
        order.ticket = *ticket;
    slot.room -= order.need;
    task.assign(worker.id(), run, context_.now());
    task.handle(CellTask::Event::Placed);
    context_.log("event=task_start job={} step={} task={} run={} worker={} config={} waited_ms={}",
                 step.key.job.value(), step.key.step.value(), index, run.value(),
                 worker.id().value(), configuration_.version().value(),
                 (context_.now() - *step.readySince).count());
    fleet_.start(worker.id(), std::move(order));
}

double &CellScheduler::approvalShareOf(const QueueId &queue)
{
    return approvalShare_.try_emplace(queue, defaultApprovalShare).first->second;
}

/// Workers known to be approved whose tickets have run out, when they have room for all tasks;
/// else as many unknown ones, those with most room first, as are likely to give that room. A
/// gang asks once for several times its seats, as its questions are long, and then waits for
/// room on the workers that are approved.
std::vector<WorkerId> CellScheduler::workersToAsk(const StartCandidate &candidate,
                                                  std::int64_t tasks)
{
    const CellStep &step = *candidate.step;
    const bool isGang = step.spec.gang;
    struct Unknown
    {
        double shareTaken = 0;
        std::int64_t seats = 0;
        const WorkerSlot *slot = nullptr;
        bool operator<(const Unknown &other) const { return shareTaken > other.shareTaken; }
    };
    std::vector<Unknown> unknown;
    std::vector<WorkerId> expired;
    std::int64_t seats = 0;
    std::int64_t approvedSeats = 0;
    for (const WorkerSlot &slot : pass_.slots) {
        const WorkerId &id = slot.worker->id();
        const WorkerNumber number = slot.worker->number();
        if (!mayRun(slot, candidate) || step.approvals.isDenied(number))
            continue;
        const std::int64_t room = roomFor(slot, step);
        const std::int64_t most = step.spec.need.timesIn(slot.worker->entry->capacity, tasks);
        if (!step.approvals.isApproved(number)) {
            if (isGang ? most > 0 : room > 0)
                unknown.push_back(
                        {step.spec.need.dominantShareOf(slot.room), isGang ? most : room, &slot});
            continue;
        }
        approvedSeats += most;
        if (room > 0 && seats < tasks && !hasTicket(slot, candidate))
            expired.push_back(id);
        seats += room;
    }
    const double wanted = static_cast<double>(tasks) * (isGang ? gangAskReserve : askReserve);
    auto expected = static_cast<double>(isGang ? approvedSeats : seats);
    if (seats >= tasks || (isGang && expected >= wanted))
        return seats >= tasks ? expired : std::vector<WorkerId>();
    std::make_heap(unknown.begin(), unknown.end());
    const double share = approvalShareOf(candidate.queue->id);
    std::vector<WorkerId> named;
    while (!unknown.empty()) {
        const bool isEnough = expected >= wanted && named.size() >= askAtLeast;
        if (isEnough || named.size() >= maxAskedWorkers)
            break;
        std::pop_heap(unknown.begin(), unknown.end());
        named.push_back(unknown.back().slot->worker->id());
        expected += static_cast<double>(unknown.back().seats) * share;
        unknown.pop_back();
    }
    // A gang that cannot be seated yet has no use for tickets.
    if (isGang || named.size() + expired.size() > maxAskedWorkers)
        return named;
    named.insert(named.end(), expired.begin(), expired.end());
    return named;
}

void CellScheduler::askApproval(const StartCandidate &candidate, std::int64_t tasks)
{
    StepApprovals &approvals = candidate.step->approvals;
    if (!needsApproval(*candidate.queue))
        return;
    const bool isCovered = pass_.askable > Millicores();
    pass_.askable -= candidate.step->spec.need.processors * tasks;
    if (approvals.asking || context_.now() < approvals.nextAsk || !isCovered)
        return;
    const ApprovalTerms &terms = *candidate.queue->approval;
    if (!approvals_.mayAsk(terms.perDecision, candidate.queue->priority))
        return;
    std::vector<WorkerId> asked = workersToAsk(candidate, tasks);
    if (asked.empty()) {
        approvals.nextAsk = context_.now() + askPause;
        return;
    }
    const auto named = static_cast<std::int64_t>(asked.size());
    const Milliseconds cost = terms.perDecision
            + Milliseconds(terms.perWorkerMicroseconds * named / microsecondsPerMillisecond);
    approvals.asking = true;
    ApprovalRequest request {candidate.step->key, asked};
    approvals_.ask(std::move(request), cost, candidate.queue->priority,
                   [this, term = term_, key = candidate.step->key, asked = std::move(asked),
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
