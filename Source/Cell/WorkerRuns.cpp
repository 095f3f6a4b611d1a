#include "Cell/WorkerFleet.h"
#include "Cell/WorkerLimits.h"

namespace caraway::cell {

namespace {

constexpr Milliseconds stopTimeout {700};
constexpr Milliseconds stopRetryInterval {600};
constexpr Milliseconds unhealthyBackoff {1000};
/// After a refusal for lack of capacity, which the worker's entry overstates.
constexpr Milliseconds overloadBackoff {300};

} // namespace

void WorkerFleet::start(const WorkerId &id, StartRequest request)
{
    reserve(id, request);
    sendStart(id, std::move(request));
}

void WorkerFleet::reserve(const WorkerId &id, const StartRequest &request)
{
    Placement placement;
    placement.task = request.task;
    placement.run = request.run;
    placement.need = request.need;
    placement.charge = request.charge;
    placement.isLongRunning = request.isLongRunning;
    findWorker(id)->placements.push_back(placement);
}

void WorkerFleet::discardStart(const WorkerId &id, const StartRequest &request)
{
    if (CellWorker *worker = findWorker(id))
        removePlacement(*worker, request.task, request.run, WorkerOutcome::NotSent);
}

bool WorkerFleet::isStopRequested(const WorkerId &id, const StartRequest &request)
{
    CellWorker *worker = findWorker(id);
    const Placement *placement = worker ? worker->find(request.task, request.run) : nullptr;
    return !placement || placement->stopRequested;
}

bool WorkerFleet::mayReceive(const WorkerId &id) const
{
    const CellWorker *found = worker(id);
    return found && isUsable(*found) && Resources().fitsIn(found->freeResources());
}

void WorkerFleet::sendStart(const WorkerId &id, StartRequest request)
{
    CellWorker *worker = findWorker(id);
    Placement *placement = worker ? worker->find(request.task, request.run) : nullptr;
    if (!placement || placement->stopRequested)
        return;
    const TimePoint now = context_.now();
    if (request.ticketValidUntil && now >= *request.ticketValidUntil) {
        discardStart(id, request);
        return;
    }
    placement->startSent = true;
    placement->sentAt = worker->estimatedClock(now);
    const WorkerTime deadline
            = placement->sentAt + WorkerTime(startWindow(context_.settings().workerLease).count());
    placement->startDeadline = deadline;
    worker->extendLeaseBound(deadline);
    WorkerStart start {request.task,
                       request.run,
                       std::move(request.payload),
                       deadline,
                       std::move(request.checkpoint),
                       std::move(request.ticket)};
    ++unansweredStarts_;
    ++callTotals_.starts;
    context_.callWorker({id, worker->entry->address, token_, std::move(start), worker->incarnation,
                         now + startTimeout},
                        startTimeout,
                        [this, term = term_, target = worker->callTarget(now), task = request.task,
                         run = request.run](const WorkerReply &reply) {
                            if (term != term_)
                                return;
                            --unansweredStarts_;
                            recordStartDelay(target, reply);
                            onStart(target, task, run, reply);
                        });
}

void WorkerFleet::recordStartDelay(const CallTarget &target, const WorkerReply &reply)
{
    // The others show the state of the worker or of the way to it.
    const bool isAnswered = reply.clock.has_value();
    if (isAnswered || reply.outcome == WorkerOutcome::Withheld)
        handlers_.startAnswered(reply.receivedAt.value_or(context_.now()) - target.sentAt);
}

std::optional<WorkerFleet::RunReply> WorkerFleet::applyRunReply(const CallTarget &target,
                                                                const TaskKey &task, RunNumber run,
                                                                const WorkerReply &reply)
{
    CellWorker *worker = findWorker(target.worker);
    if (!worker)
        return std::nullopt;
    const ReplySource source = updateFromReply(*worker, target, reply);
    Placement *placement = worker->find(task, run);
    if (!placement)
        return std::nullopt;
    return RunReply {worker, placement, source};
}

void WorkerFleet::onStart(const CallTarget &target, const TaskKey &task, RunNumber run,
                          const WorkerReply &reply)
{
    const std::optional<RunReply> found = applyRunReply(target, task, run, reply);
    if (!found)
        return;
    const auto &[worker, placement, source] = *found;
    placement->startAnsweredAt = context_.now();
    switch (reply.outcome) {
    case WorkerOutcome::Done:
        if (source == ReplySource::Present)
            placement->isOnPresentIncarnation = true;
        if (!placement->confirmedAt && source != ReplySource::Other)
            placement->confirmedAt = reply.clock.value_or(worker->estimatedClock(context_.now()));
        handlers_.started(*worker, task, run);
        return;
    case WorkerOutcome::Unanswered:
        // The next heartbeat or the start deadline shows whether the run exists. The stop makes
        // sure that it ends and cannot start later.
        handlers_.startUnanswered(task, run);
        stop(target.worker, task, run);
        return;
    case WorkerOutcome::Unhealthy:
        worker->avoidUntil = context_.now() + unhealthyBackoff;
        break;
    case WorkerOutcome::Misdirected:
        worker->avoidUntil = context_.now() + unansweredBackoff;
        break;
    case WorkerOutcome::InsufficientCapacity:
        worker->avoidUntil = std::max(worker->avoidUntil, context_.now() + overloadBackoff);
        break;
    default:
        break;
    }
    // A run that the worker has listed exists, even when a repeated start was refused.
    if (!placement->confirmedAt)
        removePlacement(*worker, task, run, reply.outcome);
}

void WorkerFleet::stop(const WorkerId &id, const TaskKey &task, RunNumber run)
{
    CellWorker *worker = findWorker(id);
    Placement *placement = worker ? worker->find(task, run) : nullptr;
    if (!placement || placement->stopRequested)
        return;
    placement->stopRequested = true;
    if (!placement->startSent)
        return;
    context_.log("event=run_stop_requested job={} step={} task={} run={} worker={} incarnation={}",
                 task.job.value(), task.step.value(), task.index.value(), run.value(), id.value(),
                 worker->incarnation.value_or(WorkerIncarnation()).value());
    if (handlers_.mayStop())
        sendStop(*worker, task, run);
}

bool WorkerFleet::isUndecided(const WorkerId &id, const TaskKey &task, RunNumber run)
{
    CellWorker *worker = findWorker(id);
    const Placement *placement = worker ? worker->find(task, run) : nullptr;
    return placement && placement->isUndecided;
}

void WorkerFleet::decide(const WorkerId &id, const TaskKey &task, RunNumber run,
                         const RunDecision &decision)
{
    if (decision.kind == RunDecision::Kind::Later || !isUndecided(id, task, run))
        return;
    CellWorker *worker = findWorker(id);
    Placement *placement = worker->find(task, run);
    placement->isUndecided = false;
    placement->need = decision.need;
    placement->charge = decision.charge;
    placement->isLongRunning = decision.isLongRunning;
    if (decision.kind == RunDecision::Kind::Stop)
        stop(id, task, run);
    worker->countOrphanedRuns();
}

void WorkerFleet::sendStop(CellWorker &worker, const TaskKey &task, RunNumber run)
{
    if (Placement *placement = worker.find(task, run)) {
        placement->stopInFlight = true;
        placement->nextStopAttempt = context_.now() + stopRetryInterval;
    }
    ++callTotals_.stops;
    context_.callWorker({worker.id(), worker.entry ? worker.entry->address : Address(), token_,
                         WorkerStop {task, run}, worker.incarnation, context_.now() + stopTimeout},
                        stopTimeout,
                        [this, term = term_, target = worker.callTarget(context_.now()), task,
                         run](const WorkerReply &reply) {
                            if (term == term_)
                                onStop(target, task, run, reply);
                        });
}

void WorkerFleet::onStop(const CallTarget &target, const TaskKey &task, RunNumber run,
                         const WorkerReply &reply)
{
    const std::optional<RunReply> found = applyRunReply(target, task, run, reply);
    if (!found)
        return;
    const auto &[worker, placement, source] = *found;
    placement->stopInFlight = false;
    if (source != ReplySource::Other && reply.outcome == WorkerOutcome::Done && reply.clock)
        placement->stopAcceptedAt = reply.clock;
}

void WorkerFleet::resendStops(CellWorker &worker)
{
    for (std::size_t i = 0; i < worker.placements.size(); ++i) {
        const Placement &placement = worker.placements[i];
        if (placement.stopRequested && placement.startSent && !placement.stopInFlight
            && context_.now() >= placement.nextStopAttempt)
            sendStop(worker, placement.task, placement.run);
    }
}

void WorkerFleet::removePlacement(CellWorker &worker, const TaskKey &task, RunNumber run,
                                  WorkerOutcome outcome, AbsenceEvidence evidence)
{
    const auto position = std::find_if(worker.placements.begin(), worker.placements.end(),
                                       [&](const Placement &placement) {
                                           return placement.run == run && placement.task == task;
                                       });
    if (position == worker.placements.end())
        return;
    // The arguments may refer to the placement itself.
    const Placement removed = *position;
    worker.placements.erase(position);
    handlers_.notOnWorker(worker, removed.task, removed.run, outcome, evidence);
}

} // namespace caraway::cell
