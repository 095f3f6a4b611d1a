#include "Cell/CellScheduler.h"

#include <boost/container/small_vector.hpp>

#include <cmath>

namespace caraway::cell {

namespace {

/// Weight of the newest run in the mean duration of a queue's tasks (exponential moving average).
constexpr double durationSmoothingFactor = 0.05;
/// Low bits of a run number; the bits above hold the generation, so that the run numbers of a term
/// are higher than those of all earlier terms.
constexpr unsigned runNumberBits = 12;
constexpr std::int64_t mostUrgentPriority = 0;
/// Steps of most jobs; longer ones take an allocation.
constexpr std::size_t usualSteps = 8;

} // namespace

bool CellScheduler::isStartable(const CellJob &job, const CellStep &step) const
{
    if (!step.readySince || step.isDone() || isFinal(job.state())
        || step.isEarly(context_.wallTime()))
        return false;
    // A later holder may have started the task.
    if (job.accepted().generation > generation_)
        return false;
    // A worker that was not read since the takeover may run a task that an earlier holder started.
    if (job.accepted().generation < generation_ && fleet_.mayHaveUnknownRuns(job.id()))
        return false;
    const std::size_t waiting = step.counts.waiting;
    return step.spec.gang ? waiting == step.tasks.size() : waiting > 0;
}

TimePoint CellScheduler::objectiveOf(const CellJob &job, const Queue &queue) const
{
    return job.arrivedAt() + cell::objectiveOf(queue, job.criticalPath());
}

Milliseconds CellScheduler::remainingTime(const CellJob &job, Occurrence occurrence,
                                          const Queue &queue) const
{
    boost::container::small_vector<Milliseconds, usualSteps> endTimes;
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
    std::vector<std::pair<Order::Key, std::size_t>> keys;
    for (auto &[id, job] : jobs_) {
        for (CellStep &step : job->steps()) {
            if (!isStartable(*job, step))
                continue;
            const Queue &queue = queueOf(*job);
            found.push_back({job.get(), &step, &queue, objectiveOf(*job, queue),
                             remainingTime(*job, step.key.occurrence, queue),
                             &pass_.options.eligible(queue.upstream, step.spec.requiredLabel)});
            if (accounts_.isActive()) {
                StartCandidate &candidate = found.back();
                candidate.isSurplus = job->isSurplus;
                candidate.isLate = !step.spec.longRunning
                        && context_.now() + candidate.remaining > candidate.objective;
            }
            keys.emplace_back(Order::keyOf(found.back(), context_.now()), keys.size());
        }
    }
    std::sort(keys.begin(), keys.end());
    std::vector<StartCandidate> sorted;
    sorted.reserve(found.size());
    for (const auto &[key, position] : keys)
        sorted.push_back(found[position]);
    return sorted;
}

void CellScheduler::recordArrivals(CellJob &job)
{
    const std::span<const CellStep> due = job.takeDueSteps(context_.wallTime());
    if (job.isSurplus)
        return;
    const Queue &queue = queueOf(job);
    for (const CellStep &step : due) {
        if (step.spec.longRunning || step.spec.fillsIdleTime)
            continue;
        const auto tasks = static_cast<std::int64_t>(step.counts.waiting);
        headroom_.recordArrival(queue.priority, step.spec.need.processors * tasks,
                                expectedDuration(queue.id, step.spec), context_.now());
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
            const std::size_t tasks = step.counts.onWorkers;
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
    // Keeps the memory of the options.
    PassOptions options = std::move(pass_.options);
    options.clear();
    pass_ = {};
    pass_.options = std::move(options);
    previousGangWorkers_ = std::exchange(gangWorkers_, {});
    // Processors that the most urgent work uses already are part of the headroom.
    Millicores unreserved
            = headroom_.reservedProcessors(context_.now()) - runningUrgentProcessors();
    pass_.report.workerChecks += fleet_.workers().size();
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!fleet_.isUsable(worker))
            continue;
        WorkerOption &option = pass_.options.add(worker);
        option.free = worker.freeResources();
        option.reclaimable = worker.entry->capacity - worker.longRunningResources();
        option.isOvercommitted = !Resources().fitsIn(option.free);
        if (worker.number().value() < requestedOnWorkers_.size())
            option.requested = requestedOnWorkers_[worker.number().value()];
        pass_.capacity += worker.entry->capacity.processors;
        pass_.free += std::max(option.free.processors, Millicores());
        if (unreserved > Millicores()) {
            option.reservedFor = mostUrgentPriority;
            unreserved -= worker.entry->capacity.processors;
        }
    }
    collectSuspects();
}

void CellScheduler::runSchedulingPass()
{
    pacing_.recordStart(context_.now());
    resolveOpenStarts();
    configureAccounts();
    preparePass();
    std::vector<StartCandidate> candidates = startCandidates();
    pass_.report.candidates = candidates.size();
    countAccounts(candidates);
    const bool areAllTried = startInOrder(candidates);
    recordBacklog(candidates);
    passNeeded_ = passNeeded_ || !areAllTried;
}

bool CellScheduler::tryToStart(StartCandidate &candidate)
{
    startStep(candidate);
    candidate.isTried = mayStartMore();
    return candidate.isTried;
}

bool CellScheduler::startInOrder(std::span<StartCandidate> candidates)
{
    std::vector<StartCandidate *> yielding;
    const auto startYielding = [&] {
        for (StartCandidate *candidate : std::exchange(yielding, {})) {
            if (!tryToStart(*candidate))
                return false;
        }
        return true;
    };
    for (StartCandidate &candidate : candidates) {
        const bool isOfNextClass = !yielding.empty()
                && !Order::keyOf(*yielding.front(), context_.now())
                            .isOfOneClass(Order::keyOf(candidate, context_.now()));
        if (isOfNextClass && !startYielding())
            return false;
        if (accounts_.isAboveShare(candidate.job->account))
            yielding.push_back(&candidate);
        else if (!tryToStart(candidate))
            return false;
    }
    return startYielding();
}

void CellScheduler::recordBacklog(std::span<const StartCandidate> candidates)
{
    std::map<std::int64_t, std::size_t> tasks;
    for (const StartCandidate &candidate : candidates) {
        if (!candidate.isTried && Order::hasValue(candidate, context_.now()))
            tasks[candidate.queue->priority] += candidate.step->counts.waiting;
    }
    wait_.recordBacklog(tasks, context_.now());
}

void CellScheduler::startStep(const StartCandidate &candidate)
{
    if (candidate.step->spec.gang)
        startGang(candidate);
    else
        startIndependentTasks(candidate);
}

bool CellScheduler::mayRun(const WorkerOption &option, const StartCandidate &candidate)
{
    // Headroom shortens the wait of urgent work; a service that lacks a task comes before that.
    const bool isReserved = option.reservedFor && candidate.queue->priority > *option.reservedFor
            && !candidate.step->spec.longRunning;
    return !isReserved && candidate.eligible->contains(option);
}

bool CellScheduler::mayFit(const StartCandidate &candidate)
{
    const StepSpec &spec = candidate.step->spec;
    return spec.fillsIdleTime || candidate.eligible->unmetByFree.mayFit(spec.need);
}

bool CellScheduler::fitsFree(const WorkerOption &option, const CellStep &step)
{
    if (!step.spec.fillsIdleTime)
        return step.spec.need.fitsIn(option.free);
    // The reservations for gangs may exceed the free processors.
    Resources free = option.free;
    free.processors = std::max(free.processors, Millicores());
    return step.spec.allocation().fitsIn(free);
}

std::int64_t CellScheduler::fittingTasks(const WorkerOption &option, Resources free,
                                         const CellStep &step)
{
    if (option.isOvercommitted || !fitsFree(option, step))
        return 0;
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
    if (step.spec.fillsIdleTime)
        free.processors = std::max(free.processors, Millicores());
    return limit > 0 ? step.spec.allocation().timesIn(free, limit) : 0;
}

bool CellScheduler::hasRoom(const WorkerOption &option, const CellStep &step)
{
    return fittingTasks(option, step) > 0;
}

std::vector<CellScheduler::PermittedWorker>
CellScheduler::permittedWorkers(const StartCandidate &candidate)
{
    std::vector<PermittedWorker> permitted;
    const auto addIfPermitted = [&](WorkerOption &option, bool hasTicket) {
        if (mayPlace(option, candidate))
            permitted.push_back({&option, hasTicket});
    };
    if (!needsApproval(*candidate.queue)) {
        pass_.report.workerChecks += candidate.eligible->options().size();
        for (WorkerOption *option : candidate.eligible->options())
            addIfPermitted(*option, true);
        return permitted;
    }
    const auto &approvedWorkers = candidate.step->approvals.approvedWorkers();
    pass_.report.workerChecks += approvedWorkers.size();
    for (const StepApprovals::ApprovedWorker &approved : approvedWorkers) {
        if (WorkerOption *option = pass_.options.find(approved.worker))
            addIfPermitted(*option, context_.now() < approved.ticket.validUntil);
    }
    return permitted;
}

CellScheduler::ScoredWorker CellScheduler::scored(WorkerOption &option,
                                                  const StartCandidate &candidate) const
{
    // Workers with a reservation for a gang are chosen last.
    const bool wasReserved = previousGangWorkers_.contains(option.worker->number());
    return {&option,
            Choice::score(*option.worker, option.free, candidate.step->spec)
                    - (wasReserved ? 1.0 : 0.0),
            crashPenalty(option, candidate.step->key.job, {})};
}

std::vector<CellScheduler::ScoredWorker>
CellScheduler::scoredWorkers(const StartCandidate &candidate)
{
    const CellStep &step = *candidate.step;
    const StepSpec &spec = step.spec;
    const bool needsTicket = needsApproval(*candidate.queue);
    if ((needsTicket && !step.approvals.hasValidTickets(context_.now())) || !mayFit(candidate))
        return {};
    std::vector<ScoredWorker> workers;
    for (const auto &[option, hasTicket] : permittedWorkers(candidate)) {
        if (hasTicket && hasRoom(*option, step))
            workers.push_back(scored(*option, candidate));
    }
    std::sort(workers.begin(), workers.end(), [](const ScoredWorker &a, const ScoredWorker &b) {
        return a.option->position < b.option->position;
    });
    const auto fits = [&](const WorkerOption *option) { return spec.need.fitsIn(option->free); };
    const std::vector<WorkerOption *> &eligible = candidate.eligible->options();
    if (workers.empty() && !needsTicket && !spec.fillsIdleTime
        && std::none_of(eligible.begin(), eligible.end(), fits))
        candidate.eligible->unmetByFree.add(spec.need);
    return workers;
}

std::vector<CellScheduler::ScoredWorker>::iterator
CellScheduler::bestWorker(std::vector<ScoredWorker> &workers, const CellTask &task,
                          const JobId &job)
{
    auto best = workers.end();
    double bestScore = 0;
    for (auto worker = workers.begin(); worker != workers.end(); ++worker) {
        const double penalty = task.crashes().isSuspect()
                ? crashPenalty(*worker->option, job, task.crashes())
                : worker->crashPenalty;
        const double score = worker->score - penalty;
        if (best == workers.end() || score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
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
    std::int64_t startable = startableTasks(candidate);
    if (startable == 0)
        return;
    std::vector<ScoredWorker> workers = scoredWorkers(candidate);
    for (std::size_t i = 0; i < step.tasks.size() && startable > 0; ++i) {
        if (!step.tasks[i].isIn(CellTask::State::Waiting) || awaitsCrashEvidence(step, i)
            || awaitsCompletion(step.taskKey(i)))
            continue;
        const auto best = bestWorker(workers, step.tasks[i], step.key.job);
        if (best == workers.end()) {
            requestTaskApprovals(candidate, startable);
            return;
        }
        if (!mayStartMore())
            return;
        --startable;
        WorkerOption &option = *best->option;
        startTask(candidate, i, nextRun(step.tasks[i]), option);
        if (hasRoom(option, step))
            *best = scored(option, candidate);
        else
            workers.erase(best);
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
    request.charge = chargeOf(*candidate.job, step);
    request.isLongRunning = step.spec.longRunning;
    accounts_.addRunning(request.charge);
    if (const auto *ticket = step.approvals.validTicket(worker.number(), context_.now())) {
        request.ticket = ticket->text;
        request.ticketValidUntil = ticket->validUntil;
    }
    option.free -= request.need;
    if (task.crashes().isSuspect())
        option.suspects.push_back({step.key.job, task.crashes().needsIsolation(), true});
    task.assign(worker.id(), run, context_.now());
    task.handle(CellTask::Event::Placed);
    wait_.recordStart(candidate.queue->priority, context_.now());
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
                                worker.incarnation.value_or(WorkerIncarnation()), false,
                                worker.entry->address});
        }
        fleet_.start(worker.id(), std::move(request));
        return;
    }
    task.recordedStart
            = RecordedStart {run, worker.id(), worker.incarnation.value_or(WorkerIncarnation()),
                             worker.entry->address};
    fleet_.reserve(worker.id(), request);
    const TaskKey key = request.task;
    unsentStarts_.insert_or_assign(key, RecordedFirst {worker.id(), std::move(request)});
    recorder_.markStart(key, run);
}

} // namespace caraway::cell
