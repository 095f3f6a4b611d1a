#include "Cell/CellScheduler.h"

#include <cmath>

namespace caraway::cell {

namespace {

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

Millicores CellScheduler::urgentRunning() const
{
    Millicores running;
    for (const auto &[id, job] : jobs_) {
        if (termsOf(*job).priority != mostUrgent)
            continue;
        for (const CellStep &step : job->steps()) {
            const std::size_t tasks = step.count(CellTask::State::OnWorker);
            running += step.spec.need.processors * static_cast<std::int64_t>(tasks);
        }
    }
    return running;
}

/// Takes down the room of all usable workers. The first workers, in the order of their names,
/// are kept for the most urgent work, so that the choice stays the same from pass to pass and
/// patient work drains from them.
void CellScheduler::beginPass()
{
    pass_ = {};
    keptBefore_ = std::exchange(keptForGangs_, {});
    // What the most urgent work uses already needs no room besides.
    Millicores missing = headroom_.wanted(context_.now()) - urgentRunning();
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!fleet_.isUsable(worker))
            continue;
        WorkerSlot &slot = pass_.slots.emplace_back();
        slot.worker = &worker;
        slot.room = worker.room();
        pass_.askable += slot.room.processors;
        pass_.capacity += worker.entry->capacity.processors;
        pass_.mostRoom = std::max(pass_.mostRoom, slot.room.processors);
        if (missing > Millicores()) {
            slot.heldFor = mostUrgent;
            missing -= worker.entry->capacity.processors;
        }
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
        double value = Choice::suitability(*slot.worker, slot.room, spec);
        // Room that is being collected for a gang is taken last.
        value -= wasKeptForGangs(slot) ? 1.0 : 0.0;
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
            const std::size_t waiting = step.count(CellTask::State::Waiting);
            askForTasks(candidate, static_cast<std::int64_t>(waiting));
            return;
        }
        startTask(candidate, i, nextRun(step.tasks[i]), *slot);
    }
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

} // namespace caraway::cell
