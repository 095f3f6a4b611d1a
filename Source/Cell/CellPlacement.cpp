#include "Cell/CellScheduler.h"

#include <cmath>

namespace caraway::cell {

namespace {

/// Weight of the newest run in the mean duration of a queue's tasks (exponential moving average).
constexpr double durationSmoothingFactor = 0.05;
/// Low bits of a run number; the bits above hold the generation, so that the run numbers of a term
/// are higher than those of all earlier terms.
constexpr unsigned runNumberBits = 12;
constexpr std::int64_t percent = 100;
constexpr std::int64_t mostUrgentPriority = 0;
/// Minimum time between two scheduling passes; the events in between are handled by one pass.
constexpr Milliseconds minPassInterval {15};
/// A long backlog lengthens the interval, and with many workers a shorter one does, so that passes
/// use a small part of the processor.
constexpr std::int64_t candidatesPerAddedMillisecond = 100;
constexpr std::int64_t choicesPerAddedMillisecond = 35'000;

} // namespace

bool CellScheduler::isStartable(const CellJob &job, const CellStep &step) const
{
    if (!step.readySince || step.isDone() || isFinal(job.state()))
        return false;
    // A later holder may have started the task.
    if (job.accepted().generation > generation_)
        return false;
    // A worker that was not read since the takeover may run a task that an earlier holder started.
    if (job.accepted().generation < generation_ && fleet_.mayHaveUnknownRuns(job.id()))
        return false;
    const std::size_t waiting = step.countTasks(CellTask::State::Waiting);
    return step.spec.gang ? waiting == step.tasks.size() : waiting > 0;
}

TimePoint CellScheduler::objectiveOf(const CellJob &job, const Queue &queue) const
{
    return job.arrivedAt() + job.criticalPath() * queue.stretchPercent / percent + queue.objective;
}

Milliseconds CellScheduler::remainingTime(const CellJob &job, Occurrence occurrence,
                                          const Queue &queue) const
{
    std::vector<Milliseconds> endTimes;
    Milliseconds longest;
    for (const CellStep &step : job.stepsOf(occurrence)) {
        Milliseconds endTime;
        for (const StepIndex dependency : step.spec.after) {
            if (dependency.value() < endTimes.size())
                endTime = std::max(endTime, endTimes[dependency.value()]);
        }
        if (!step.isDone())
            endTime = endTime + (step.spec.estimate + expectedDuration(queue.id, step.spec)) / 2;
        endTimes.push_back(endTime);
        longest = std::max(longest, endTime);
    }
    return longest;
}

std::vector<StartCandidate> CellScheduler::startCandidates()
{
    std::vector<StartCandidate> found;
    for (auto &[id, job] : jobs_) {
        for (CellStep &step : job->steps()) {
            if (!isStartable(*job, step))
                continue;
            const Queue &queue = queueOf(*job);
            found.push_back({job.get(), &step, &queue, objectiveOf(*job, queue),
                             remainingTime(*job, step.key.occurrence, queue)});
        }
    }
    std::sort(found.begin(), found.end(),
              [now = context_.now()](const StartCandidate &a, const StartCandidate &b) {
                  return Order::startsBefore(a, b, now);
              });
    return found;
}

void CellScheduler::recordArrival(const CellJob &job)
{
    const Queue &queue = queueOf(job);
    for (const StepSpec &step : job.accepted().spec.steps) {
        if (step.longRunning || step.fillsIdleTime)
            continue;
        headroom_.recordArrival(queue.priority, step.need.processors * step.tasks,
                                expectedDuration(queue.id, step), context_.now());
    }
}

void CellScheduler::updateMeanDuration(const CellJob &job, const CellTask &task)
{
    // When an earlier holder started the run, its start time is unknown.
    const std::uint64_t firstOwnRun = generation_ << runNumberBits;
    if (!task.isIn(CellTask::State::OnWorker) || task.run().value() <= firstOwnRun)
        return;
    const auto duration = static_cast<double>((context_.now() - task.placedAt()).count());
    const auto [found, isFirst] = meanDurations_.try_emplace(queueOf(job).id, duration);
    if (!isFirst)
        found->second += (duration - found->second) * durationSmoothingFactor;
}

Milliseconds CellScheduler::expectedDuration(const QueueId &queue, const StepSpec &step) const
{
    const auto found = meanDurations_.find(queue);
    return found == meanDurations_.end() ? step.estimate
                                         : Milliseconds(std::llround(found->second));
}

Millicores CellScheduler::runningUrgentProcessors() const
{
    Millicores running;
    for (const auto &[id, job] : jobs_) {
        if (queueOf(*job).priority != mostUrgentPriority)
            continue;
        for (const CellStep &step : job->steps()) {
            const std::size_t tasks = step.countTasks(CellTask::State::OnWorker);
            running += step.spec.need.processors * static_cast<std::int64_t>(tasks);
        }
    }
    return running;
}

/// Records the free capacity of all usable workers. The headroom is reserved on the first workers
/// in the order of their names, so that the choice stays the same from pass to pass and the less
/// urgent work on them completes.
void CellScheduler::preparePass()
{
    pass_ = {};
    previousGangWorkers_ = std::exchange(gangWorkers_, {});
    // Processors that the most urgent work uses already are part of the headroom.
    Millicores unreserved
            = headroom_.reservedProcessors(context_.now()) - runningUrgentProcessors();
    pass_.report.workerChecks += fleet_.workers().size();
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!fleet_.isUsable(worker))
            continue;
        WorkerOption &option = pass_.options.emplace_back();
        option.worker = &worker;
        option.free = worker.freeResources();
        option.isOvercommitted = !Resources().fitsIn(option.free);
        pass_.uncommitted += std::max(option.free.processors, Millicores());
        pass_.capacity += worker.entry->capacity.processors;
        pass_.maxFreeProcessors = std::max(pass_.maxFreeProcessors, option.free.processors);
        if (unreserved > Millicores()) {
            option.reservedFor = mostUrgentPriority;
            unreserved -= worker.entry->capacity.processors;
        }
    }
    collectSuspects();
}

void CellScheduler::runSchedulingPass()
{
    resolveOpenStarts();
    preparePass();
    const std::vector<StartCandidate> candidates = startCandidates();
    pass_.report.candidates = candidates.size();
    for (const StartCandidate &candidate : candidates)
        startStep(candidate);
    const auto count = static_cast<std::int64_t>(candidates.size());
    const auto choices = count * static_cast<std::int64_t>(pass_.options.size());
    const std::int64_t added
            = std::max(count / candidatesPerAddedMillisecond, choices / choicesPerAddedMillisecond);
    nextPass_ = context_.now() + minPassInterval + Milliseconds(added);
}

void CellScheduler::startStep(const StartCandidate &candidate)
{
    if (candidate.step->spec.gang)
        startGang(candidate);
    else
        startIndependentTasks(candidate);
}

bool CellScheduler::isEligible(const CellWorker &worker, const StartCandidate &candidate)
{
    const Label &required = candidate.step->spec.requiredLabel;
    if (worker.entry->upstream != candidate.queue->upstream)
        return false;
    const std::vector<Label> &labels = worker.entry->labels;
    return required.isEmpty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

bool CellScheduler::mayRun(const WorkerOption &option, const StartCandidate &candidate)
{
    // Headroom shortens the wait of urgent work; a service that lacks a task comes before that.
    const bool isReserved = option.reservedFor && candidate.queue->priority > *option.reservedFor
            && !candidate.step->spec.longRunning;
    return !isReserved && isEligible(*option.worker, candidate);
}

std::int64_t CellScheduler::fittingTasks(const WorkerOption &option, const CellStep &step)
{
    std::int64_t limit = step.spec.tasks;
    if (step.spec.maxPerWorker > 0) {
        limit = step.spec.maxPerWorker;
        for (const Placement &placement : option.worker->placements) {
            const TaskKey &task = placement.task;
            const bool isSameStep = task.job == step.key.job && task.step == step.key.step
                    && task.occurrence == step.key.occurrence;
            limit -= isSameStep ? 1 : 0;
        }
    }
    Resources free = option.free;
    // The reservations for gangs may exceed the free processors.
    if (step.spec.fillsIdleTime)
        free.processors = std::max(free.processors, Millicores());
    return limit > 0 && !option.isOvercommitted ? step.spec.allocation().timesIn(free, limit) : 0;
}

CellScheduler::WorkerOption *CellScheduler::bestOption(const StartCandidate &candidate,
                                                       const CellTask &task)
{
    const StepSpec &spec = candidate.step->spec;
    if (spec.need.processors > pass_.maxFreeProcessors && !spec.fillsIdleTime)
        return nullptr;
    WorkerOption *best = nullptr;
    double bestScore = 0;
    Millicores maxFreeProcessors;
    pass_.report.workerChecks += pass_.options.size();
    for (WorkerOption &option : pass_.options) {
        maxFreeProcessors = std::max(maxFreeProcessors, option.free.processors);
        if (!spec.need.fitsIn(option.free) && !spec.fillsIdleTime)
            continue;
        if (!hasTicket(option, candidate) || !mayRun(option, candidate)
            || isIsolated(option, candidate.step->key.job)
            || fittingTasks(option, *candidate.step) < 1) {
            continue;
        }
        double score = Choice::score(*option.worker, option.free, spec);
        // Workers with a reservation for a gang are chosen last.
        score -= wasReservedForGang(option) ? 1.0 : 0.0;
        score -= crashPenalty(option, candidate.step->key.job, task.crashes());
        if (!best || score > bestScore) {
            best = &option;
            bestScore = score;
        }
    }
    pass_.maxFreeProcessors = maxFreeProcessors;
    return best;
}

RunNumber CellScheduler::nextRun(const CellTask &task) const
{
    const std::uint64_t base = generation_ << runNumberBits;
    return RunNumber(std::max(task.run().value(), base) + 1);
}

void CellScheduler::startIndependentTasks(const StartCandidate &candidate)
{
    CellStep &step = *candidate.step;
    const bool isWaitingForTickets
            = needsApproval(*candidate.queue) && !step.approvals.hasValidTickets(context_.now());
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!step.tasks[i].isIn(CellTask::State::Waiting) || awaitsCrashEvidence(step, i))
            continue;
        WorkerOption *option = isWaitingForTickets ? nullptr : bestOption(candidate, step.tasks[i]);
        if (!option) {
            const std::size_t waiting = step.countTasks(CellTask::State::Waiting);
            requestTaskApprovals(candidate, static_cast<std::int64_t>(waiting));
            return;
        }
        startTask(candidate, i, nextRun(step.tasks[i]), *option);
    }
}

void CellScheduler::startTask(const StartCandidate &candidate, std::size_t index, RunNumber run,
                              WorkerOption &option)
{
    const CellWorker &worker = *option.worker;
    CellStep &step = *candidate.step;
    CellTask &task = step.tasks[index];
    WorkerFleet::StartRequest request;
    request.task = step.taskKey(index);
    request.run = run;
    request.payload = candidate.job->accepted().spec.payload;
    request.checkpoint = step.spec.gang ? step.gangCheckpoint : task.checkpoint;
    request.need = step.spec.allocation();
    if (const std::string *ticket = step.approvals.validTicket(worker.number(), context_.now()))
        request.ticket = *ticket;
    option.free -= request.need;
    if (!task.crashes().isEmpty())
        option.suspects.push_back({step.key.job, task.crashes().needsIsolation(), true});
    task.assign(worker.id(), run, context_.now());
    task.handle(CellTask::Event::Placed);
    context_.log("event=task_start job={} step={} task={} run={} worker={} incarnation={} "
                 "generation={} confirmed_ms={} config={} waited_ms={}",
                 step.key.job.value(), step.key.step.value(), index, run.value(),
                 worker.id().value(), worker.incarnation.value_or(WorkerIncarnation()).value(),
                 generation_, (context_.now() - confirmedAt_).count(),
                 configuration_.version().value(), (context_.now() - *step.readySince).count());
    if (!recordsStart(step, task)) {
        // A long-running task survives crashes of its workers, unless they come soon after its
        // starts, which are recorded from the first such crash on.
        if (!step.spec.longRunning) {
            startLog_.addStart({request.task, run, worker.id(),
                                worker.incarnation.value_or(WorkerIncarnation())});
        }
        fleet_.start(worker.id(), std::move(request));
        return;
    }
    task.recordedStart
            = RecordedStart {run, worker.id(), worker.incarnation.value_or(WorkerIncarnation())};
    fleet_.reserve(worker.id(), request);
    const TaskKey key = request.task;
    unsentStarts_.insert_or_assign(key, RecordedFirst {worker.id(), std::move(request)});
    recorder_.markStart(key, run);
}

} // namespace caraway::cell
