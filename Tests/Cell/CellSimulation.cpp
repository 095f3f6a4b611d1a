#include "Cell/CellSimulation.h"

#include "Core/Stopwatch.h"

namespace caraway::tests {

using namespace cell;

namespace {

constexpr Milliseconds networkDelay {1};
constexpr Milliseconds storeDelay {4};
constexpr Milliseconds tickInterval {25};
constexpr std::int64_t workerMillicores = 8000;
/// Bound of the events that an instance handles before a scheduling pass.
constexpr std::size_t maxBatch = 128;
constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr std::int64_t millicoresPerCore = 1000;
/// A worker may be overloaded for this long after its capacity has shrunk.
constexpr Milliseconds shrinkTolerance {4500};
/// The interval of the holder's watches of the list of workers, and the delays of their calls.
constexpr Milliseconds entryDelay {350};

/// Whether the call ends with a reply or a timeout.
bool isReported(CellSimulation::Delivery delivery)
{
    return delivery != CellSimulation::Delivery::ReplyDropped
            && delivery != CellSimulation::Delivery::Dropped;
}

Address peerAddress(std::size_t index)
{
    return {"10.0.0." + std::to_string(index + 1), 7000};
}

} // namespace

CellSimulation::CellSimulation(std::size_t instances, std::size_t workers)
{
    plan = [](const TaskKey &, RunNumber) {
        return SimulatedWorker::RunPlan {Milliseconds(500), CompletionReason::Succeeded};
    };
    Queue queue;
    queue.id = QueueId("queue");
    queue.host = "host";
    queue.prefix = "/q/";
    queue.upstream = UpstreamId("upstream");
    queue.maxAttempts = 3;
    queue.objective = Milliseconds(1000);
    queue.timeout = Milliseconds(3000);
    configuration.version = ConfigurationVersion(1);
    configuration.queues = {queue};
    configuration.upstreams = {queue.upstream};
    publishConfiguration();
    for (std::size_t i = 0; i < workers; ++i) {
        auto worker = std::make_unique<SimulatedWorker>();
        worker->entry.id = WorkerId("worker-" + std::to_string(i));
        worker->entry.incarnation = WorkerIncarnation(1);
        worker->entry.upstream = queue.upstream;
        worker->entry.address = {"10.1.0." + std::to_string(i + 1), 8000};
        worker->entry.capacity.processors = Millicores(workerMillicores);
        worker->entry.capacity.memory = Bytes(1 << 30);
        worker->plan = [this](const TaskKey &task, RunNumber run) { return plan(task, run); };
        worker->onStarted = [this](const SimulatedWorker &on, const SimulatedWorker::Run &run) {
            recordStart(on, run);
        };
        worker->onCompleted
                = [this](const SimulatedWorker &on, const SimulatedWorker::Run &run,
                         CompletionReason reason) { recordCompletion(on, run, reason); };
        worker->onAcknowledged = [this](const SimulatedWorker &on, const CompletedRun &completion) {
            recordAcknowledgement(on, completion);
        };
        capacities_[worker->entry.id].change(now_, worker->entry.capacity);
        worker->onCrashed = [this](const SimulatedWorker &on) { recordCrash(on); };
        worker->onReturned = [this, i](const SimulatedWorker &on) {
            if (renamesOnReturn)
                rename(*workers_[i]);
            store_.put({RecordType::Workers, on.entry.id.value()}, on.entry);
        };
        workers_.push_back(std::move(worker));
    }
    publishWorkers();
    for (std::size_t i = 0; i < instances; ++i) {
        instances_.emplace_back().id = InstanceId("entry-" + std::to_string(i));
        restart(i);
    }
}

CellSimulation::~CellSimulation() = default;

CellSettings CellSimulation::settingsOf(std::size_t index) const
{
    CellSettings settings;
    settings.self = InstanceId("entry-" + std::to_string(index));
    settings.peers = peerAddress(index);
    settings.approvals = {"10.2.0.1", 9000};
    if (const auto found = processors.find(index); found != processors.end())
        settings.processors = found->second;
    return settings;
}

void CellSimulation::publishConfiguration()
{
    store_.put({RecordType::Configuration, {}}, configuration);
}

void CellSimulation::publishWorkers()
{
    for (std::size_t i = 0; i < workers_.size(); ++i)
        publishWorker(i);
}

void CellSimulation::publishWorker(std::size_t index)
{
    WorkerEntry &entry = workers_.at(index)->entry;
    entry.reportedAt = workers_[index]->clock(now_);
    store_.put({RecordType::Workers, entry.id.value()}, entry);
}

void CellSimulation::restartWorker(std::size_t index)
{
    workers_.at(index)->restart(now_);
    publishWorker(index);
}

void CellSimulation::announceLeaving(std::size_t index, Milliseconds remaining)
{
    WorkerEntry &entry = workers_.at(index)->entry;
    entry.draining = true;
    entry.remaining = remaining;
    entry.reportedAt = workers_[index]->clock(now_);
    publishWorker(index);
}

void CellSimulation::removeWorker(std::size_t index)
{
    SimulatedWorker &worker = *workers_.at(index);
    worker.leave();
    store_.remove({RecordType::Workers, worker.entry.id.value()});
}

void CellSimulation::publishEntry(std::size_t index, Milliseconds delay)
{
    schedule(delay, [this, index] {
        const WorkerEntry &entry = workers_[index]->entry;
        store_.put({RecordType::Workers, entry.id.value()}, entry);
    });
}

void CellSimulation::changeCapacity(std::size_t index, const Resources &capacity,
                                    Milliseconds shownAfter)
{
    WorkerEntry &entry = workers_.at(index)->entry;
    capacities_[entry.id].change(now_, capacity);
    entry.capacity = capacity;
    publishEntry(index, shownAfter);
}

void CellSimulation::restartWorker(std::size_t index, const Resources &capacity,
                                   Milliseconds shownAfter)
{
    SimulatedWorker &worker = *workers_.at(index);
    worker.restart(now_);
    capacities_[worker.entry.id] = {};
    changeCapacity(index, capacity, shownAfter);
}

std::size_t CellSimulation::indexOf(const WorkerId &id) const
{
    const auto found = std::find_if(workers_.begin(), workers_.end(),
                                    [&](const auto &worker) { return worker->entry.id == id; });
    return static_cast<std::size_t>(found - workers_.begin());
}

WallTime CellSimulation::wallTimeOf(std::size_t index) const
{
    const auto lead = timeOfDayLeads.find(index);
    const Milliseconds offset = lead == timeOfDayLeads.end() ? Milliseconds() : lead->second;
    return WallTime((now_.sinceStart() + offset).count());
}

void CellSimulation::schedule(Milliseconds delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++lastEventNumber_, std::move(action)});
}

void CellSimulation::restart(std::size_t index)
{
    Instance &instance = instances_.at(index);
    ++instance.incarnation;
    instance.isPaused = false;
    instance.pendingEvents.clear();
    instance.cellInstance = std::make_unique<CellInstance>(
            settingsOf(index), ProcessId {instance.id, instance.incarnation});
    instance.cellInstance->start(now_, wallTimeOf(index));
    execute(index, instance.cellInstance->takeActions());
}

void CellSimulation::kill(std::size_t index)
{
    Instance &instance = instances_.at(index);
    ++instance.incarnation;
    instance.cellInstance.reset();
}

void CellSimulation::resume(std::size_t index)
{
    Instance &instance = instances_.at(index);
    instance.isPaused = false;
    if (instance.cellInstance)
        handle(index, std::exchange(instance.pendingEvents, {}));
}

void CellSimulation::deliver(std::size_t index, std::uint64_t incarnation, const CellEvent &event)
{
    Instance &instance = instances_.at(index);
    if (!instance.cellInstance || instance.incarnation != incarnation)
        return;
    if (instance.isPaused || isBusy(instance))
        instance.pendingEvents.push_back(event);
    else
        handle(index, {event});
}

bool CellSimulation::isBusy(const Instance &instance) const
{
    return instance.busyUntil.count() > now_.sinceStart().count() * microsecondsPerMillisecond;
}

void CellSimulation::use(std::size_t index, Microseconds processorTime)
{
    Instance &instance = instances_.at(index);
    const Microseconds now(now_.sinceStart().count() * microsecondsPerMillisecond);
    const Microseconds duration
            = processorTime * millicoresPerCore / settingsOf(index).processors.count();
    instance.busyUntil = std::max(instance.busyUntil, now) + duration;
}

void CellSimulation::handleWaiting(std::size_t index)
{
    Instance &instance = instances_.at(index);
    if (!instance.cellInstance || instance.isPaused || isBusy(instance)
        || instance.pendingEvents.empty())
        return;
    const std::size_t count = std::min(instance.pendingEvents.size(), maxBatch);
    const auto end = instance.pendingEvents.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<CellEvent> batch(instance.pendingEvents.begin(), end);
    instance.pendingEvents.erase(instance.pendingEvents.begin(), end);
    handle(index, batch);
}

void CellSimulation::handle(std::size_t index, const std::vector<CellEvent> &events)
{
    Instance &instance = instances_.at(index);
    const Stopwatch stopwatch;
    const WallTime wallTime = wallTimeOf(index);
    for (const CellEvent &next : events)
        instance.cellInstance->handle(now_, wallTime, next);
    const std::optional<PassReport> pass = instance.cellInstance->runSchedulingPass(now_, wallTime);
    instance.processorSeconds += stopwatch.seconds();
    const CellActions actions = instance.cellInstance->takeActions();
    if (!prices) {
        execute(index, actions);
        return;
    }
    constexpr std::int64_t checksPerPrice = 1000;
    Microseconds passTime;
    if (pass) {
        passTime = prices->candidate * static_cast<std::int64_t>(pass->candidates)
                + prices->thousandWorkerChecks * static_cast<std::int64_t>(pass->workerChecks)
                        / checksPerPrice;
    }
    use(index,
        passTime + prices->event * static_cast<std::int64_t>(events.size())
                + prices->call
                        * static_cast<std::int64_t>(actions.store.size() + actions.workers.size()));
    const Milliseconds delay(instance.busyUntil.count() / microsecondsPerMillisecond
                             - now_.sinceStart().count());
    if (pass)
        instance.cellInstance->recordPassTime(now_ + delay, {passTime, passTime});
    schedule(delay, [this, index, actions, incarnation = instance.incarnation] {
        if (instances_[index].incarnation == incarnation)
            execute(index, actions);
    });
}

void CellSimulation::execute(std::size_t index, const CellActions &actions)
{
    for (const std::string &line : actions.log)
        log += instances_[index].id.value() + " " + line + "\n";
    for (const StoreCall &next : actions.store)
        call(index, next);
    for (const WorkerCall &next : actions.workers)
        call(index, next);
    for (const ApprovalCall &next : actions.approvals)
        call(index, next);
    for (const PeerSend &next : actions.peers)
        send(index, next);
    for (const CallerAnswer &answer : actions.answers)
        answers_.emplace(answer.id.value(), answer);
}

void CellSimulation::call(std::size_t index, const StoreCall &call)
{
    const Instance &instance = instances_[index];
    const Delivery delivery
            = storeDelivery ? storeDelivery(instance.id, call.request) : Delivery::Delivered;
    const std::uint64_t incarnation = instance.incarnation;
    const Milliseconds replyDelay
            = networkDelay + (storeReplyDelay ? storeReplyDelay(call.request) : Milliseconds());
    const SimulatedStore::Reply reply = [this, index, incarnation, replyDelay,
                                         id = call.id](const StoreReply &answer) {
        schedule(replyDelay, [=, this] { deliver(index, incarnation, StoreReplied {id, answer}); });
    };
    if (delivery == Delivery::Refused || delivery == Delivery::Invalid) {
        const bool isInvalid = delivery == Delivery::Invalid;
        reply({isInvalid ? StoreOutcome::Invalid : StoreOutcome::Refused, {}, false, {}, {}});
        return;
    }
    if (isReported(delivery))
        schedule(call.timeout, [=] { reply({StoreOutcome::Unanswered, {}, false, {}, {}}); });
    if (delivery == Delivery::Lost || delivery == Delivery::Dropped)
        return;
    schedule(storeDelay, [this, delivery, reply, request = call.request] {
        store_.handle(now_, request,
                      delivery == Delivery::Delivered
                              ? reply
                              : SimulatedStore::Reply([](const StoreReply &) {}));
    });
}

void CellSimulation::call(std::size_t index, const WorkerCall &call)
{
    const Instance &instance = instances_[index];
    Delivery delivery
            = workerDelivery ? workerDelivery(instance.id, call.request) : Delivery::Delivered;
    if (const std::size_t worker = indexOf(call.request.worker); worker < workers_.size()
        && workers_[worker]->hasLeft() && delivery != Delivery::NotSent && isReported(delivery))
        delivery = Delivery::Lost;
    else if (worker < workers_.size() && workers_[worker]->isDown())
        delivery = deliveryWhileDown;
    const Milliseconds delay = workerDelay ? workerDelay(call.request) : Milliseconds();
    if (delivery == Delivery::Delivered && delay >= call.timeout)
        delivery = Delivery::AnswerLost;
    const std::uint64_t incarnation = instance.incarnation;
    const auto report = [this, index, incarnation, id = call.id](const WorkerReply &answer,
                                                                 Milliseconds wait) {
        schedule(networkDelay + wait, [=, this] {
            WorkerReply received = answer;
            received.receivedAt = now_;
            deliver(index, incarnation, WorkerReplied {id, std::move(received)});
        });
    };
    if (isReported(delivery)) {
        WorkerReply failed;
        if (delivery == Delivery::Refused)
            failed.outcome = WorkerOutcome::Unhealthy;
        if (delivery == Delivery::NotSent)
            failed.outcome = WorkerOutcome::NotSent;
        const bool isPrompt = delivery == Delivery::Refused || delivery == Delivery::NotSent;
        schedule(isPrompt ? networkDelay : call.timeout, [=] { report(failed, Milliseconds()); });
    }
    const SimulatedWorker::Reply reply
            = [=, this, request = call.request](const WorkerReply &answer) {
                  report(answer, workerReplyDelay ? workerReplyDelay(request) : Milliseconds());
              };
    const bool isExecuted = delivery == Delivery::Delivered || delivery == Delivery::AnswerLost
            || delivery == Delivery::ReplyDropped;
    if (!isExecuted)
        return;
    schedule(networkDelay + delay, [this, delivery, reply, request = call.request] {
        for (const auto &worker : workers_) {
            const bool isAtAddress = worker->entry.address == request.address && !worker->hasLeft();
            if (isAtAddress && worker->entry.id != request.worker && !worker->isDown()) {
                WorkerReply misdirected;
                misdirected.outcome = WorkerOutcome::Misdirected;
                if (delivery == Delivery::Delivered)
                    reply(misdirected);
            } else if (worker->entry.id == request.worker && !worker->hasLeft()) {
                worker->handle(now_, request,
                               delivery == Delivery::Delivered
                                       ? reply
                                       : SimulatedWorker::Reply([](const WorkerReply &) {}));
            }
        }
    });
}

void CellSimulation::call(std::size_t index, const ApprovalCall &call)
{
    const Delivery delivery = approvalDelivery
            ? approvalDelivery(instances_[index].id, call.request)
            : Delivery::Delivered;
    if (!isReported(delivery))
        return;
    if (delivery != Delivery::Delivered) {
        schedule(call.timeout, [=, this, id = call.id, own = instances_[index].incarnation] {
            deliver(index, own, ApprovalReplied {id, {}});
        });
        return;
    }
    ApprovalReply approved;
    approved.answered = true;
    for (const WorkerId &worker : call.request.workers) {
        if (!approves || approves(call.request.step, worker))
            approved.approved.push_back({worker, "ticket"});
    }
    Instance &instance = instances_[index];
    const std::uint64_t incarnation = instance.incarnation;
    const Milliseconds duration
            = approvalDuration ? approvalDuration(call.request) : Milliseconds(20);
    instance.approvalsBusyUntil = std::max(instance.approvalsBusyUntil, now_) + duration;
    schedule(instance.approvalsBusyUntil - now_, [=, this, id = call.id] {
        deliver(index, incarnation, ApprovalReplied {id, approved});
    });
}

void CellSimulation::send(std::size_t index, const PeerSend &message)
{
    const InstanceId &from = instances_[index].id;
    if (peerDelivery && peerDelivery(from, message.message) != Delivery::Delivered)
        return;
    for (std::size_t to = 0; to < instances_.size(); ++to) {
        if (std::find(message.to.begin(), message.to.end(), peerAddress(to)) == message.to.end())
            continue;
        const std::uint64_t incarnation = instances_[to].incarnation;
        if (!instances_[to].cellInstance) {
            schedule(networkDelay, [=, this, own = instances_[index].incarnation] {
                deliver(index, own, PeerLost {peerAddress(to), true});
            });
            continue;
        }
        PeerFrame frame {ProcessId {from, instances_[index].incarnation}, peerAddress(index),
                         message.message};
        schedule(networkDelay, [=, this] { deliver(to, incarnation, frame); });
    }
}

void CellSimulation::step()
{
    now_ = now_ + Milliseconds(1);
    store_.tick(now_);
    for (const auto &worker : workers_)
        worker->tick(now_);
    while (!events_.empty() && events_.top().at <= now_) {
        const std::function<void()> action = events_.top().action;
        events_.pop();
        action();
    }
    for (std::size_t i = 0; i < instances_.size(); ++i)
        handleWaiting(i);
    if (now_.sinceStart().count() % tickInterval.count() != 0)
        return;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (!instances_[i].isPaused)
            deliver(i, instances_[i].incarnation, Tick {now_, now_});
    }
}

void CellSimulation::advance(Milliseconds duration)
{
    for (std::int64_t i = 0; i < duration.count(); ++i)
        step();
}

bool CellSimulation::advanceUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    for (std::int64_t i = 0; i < limit.count(); ++i) {
        if (condition())
            return true;
        step();
    }
    return condition();
}

CallerRequestId CellSimulation::sendRequest(std::size_t instance, CallerRequest request)
{
    request.id = CallerRequestId(++lastRequest_);
    request.key = key;
    if (request.host.empty())
        request.host = "host";
    const CallerRequestId id = request.id;
    const std::uint64_t incarnation = instances_.at(instance).incarnation;
    schedule(networkDelay, [=, this] { deliver(instance, incarnation, request); });
    return id;
}

CallerRequestId CellSimulation::submit(std::size_t instance, const JobSpec &job,
                                       const std::string &host)
{
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (job.steps[i].gang)
            gangs_.insert({job.id, Occurrence(), StepIndex(i)});
        Resources &need = needs_[job.id.value() + "." + std::to_string(i)];
        need = job.steps[i].need;
        if (job.steps[i].fillsIdleTime)
            need.processors = {};
    }
    return sendRequest(instance, {{}, host, "/q/" + job.id.value(), SubmitJob {job}, {}});
}

CallerRequestId CellSimulation::read(std::size_t instance, const JobId &job)
{
    return sendRequest(instance, {{}, {}, "/q/" + job.value(), ReadJob {job}, {}});
}

CallerRequestId CellSimulation::cancel(std::size_t instance, const JobId &job)
{
    return sendRequest(instance, {{}, {}, "/q/" + job.value(), CancelJob {job}, {}});
}

CallerRequestId CellSimulation::count(std::size_t instance)
{
    return sendRequest(instance, {{}, {}, "/q/", CountPending {}, {}});
}

std::optional<CallerAnswer> CellSimulation::answerOf(CallerRequestId request) const
{
    const auto found = answers_.find(request.value());
    return found == answers_.end() ? std::nullopt : std::optional(found->second);
}

CallerOutcome CellSimulation::submitAndWait(std::size_t instance, const JobSpec &job,
                                            const std::string &host)
{
    const CallerRequestId request = submit(instance, job, host);
    advanceUntil([&] { return answerOf(request).has_value(); }, Milliseconds(5000));
    const std::optional<CallerAnswer> answer = answerOf(request);
    return answer ? answer->outcome : CallerOutcome::Unknown;
}

std::optional<JobState> CellSimulation::stateOf(std::size_t instance, const JobId &job)
{
    const CallerRequestId request = read(instance, job);
    advanceUntil([&] { return answerOf(request).has_value(); }, Milliseconds(5000));
    const std::optional<CallerAnswer> answer = answerOf(request);
    if (!answer || answer->outcome != CallerOutcome::State)
        return std::nullopt;
    return answer->state;
}

std::optional<std::size_t> CellSimulation::holder() const
{
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i].cellInstance && !instances_[i].isPaused
            && instances_[i].cellInstance->isHolder())
            return i;
    }
    return std::nullopt;
}

void CellSimulation::recordStart(const SimulatedWorker &worker, const SimulatedWorker::Run &run)
{
    starts_.push_back({run.task, run.run, worker.entry.id, now_, std::nullopt,
                       CompletionReason::Succeeded, false, false});
    Resources used;
    for (const SimulatedWorker::Run &running : worker.running()) {
        used += needs_[running.task.job.value() + "." + std::to_string(running.task.step.value())];
    }
    overloads_ += fitsSince(worker, used, shrinkTolerance) ? 0 : 1;
    promptOverloads_ += fitsSince(worker, used, entryDelay) ? 0 : 1;
}

bool CellSimulation::fitsSince(const SimulatedWorker &worker, const Resources &used,
                               Milliseconds age) const
{
    const CapacityHistory &history = capacities_.at(worker.entry.id);
    // A test may set the capacity directly.
    if (!history.isPresent(worker.entry.capacity))
        return used.fitsIn(worker.entry.capacity);
    return used.fitsIn(history.mostSince(now_ - age));
}

void CellSimulation::recordCompletion(const SimulatedWorker &worker,
                                      const SimulatedWorker::Run &run, CompletionReason reason)
{
    for (ObservedRun &row : starts_) {
        const bool isMatch = row.task == run.task && row.run == run.run
                && row.worker == worker.entry.id && !row.completedAt;
        if (isMatch) {
            row.completedAt = now_;
            row.reason = reason;
        }
    }
    if (reason != CompletionReason::Succeeded && reason != CompletionReason::GangMemberStopped
        && gangs_.contains(stepOf(run.task)))
        breakGangElsewhere(run);
}

void CellSimulation::recordAcknowledgement(const SimulatedWorker &worker,
                                           const CompletedRun &completion)
{
    if (completion.reason != CompletionReason::Succeeded)
        return;
    for (ObservedRun &row : starts_) {
        const bool isMatch = row.task == completion.task && row.run == completion.run
                && row.worker == worker.entry.id && row.reason == CompletionReason::Succeeded;
        row.acknowledged = row.acknowledged || (isMatch && row.completedAt);
    }
}

void CellSimulation::recordCrash(const SimulatedWorker &worker)
{
    for (ObservedRun &row : starts_)
        row.crashed = row.crashed || (row.worker == worker.entry.id && !row.completedAt);
    if (removesEntriesOnCrash)
        store_.remove({RecordType::Workers, worker.entry.id.value()});
}

void CellSimulation::rename(SimulatedWorker &worker)
{
    store_.remove({RecordType::Workers, worker.entry.id.value()});
    worker.entry.id = WorkerId(worker.entry.id.value() + "-next");
    capacities_[worker.entry.id].change(now_, worker.entry.capacity);
}

void CellSimulation::breakGangElsewhere(const SimulatedWorker::Run &run)
{
    schedule(networkDelay, [this, step = stepOf(run.task), number = run.run] {
        for (const auto &worker : workers_)
            worker->breakGang(now_, step, number);
    });
}

std::size_t CellSimulation::startsOf(const JobId &job) const
{
    return static_cast<std::size_t>(
            std::count_if(starts_.begin(), starts_.end(),
                          [&](const ObservedRun &row) { return row.task.job == job; }));
}

std::size_t CellSimulation::overlaps() const
{
    std::size_t pairs = 0;
    for (std::size_t a = 0; a < starts_.size(); ++a) {
        for (std::size_t b = a + 1; b < starts_.size(); ++b) {
            if (starts_[a].task != starts_[b].task)
                continue;
            const TimePoint endA = starts_[a].completedAt.value_or(now_);
            pairs += starts_[b].startedAt < endA ? 1 : 0;
        }
    }
    return pairs;
}

std::size_t CellSimulation::startsAfterSuccess() const
{
    return static_cast<std::size_t>(
            std::count_if(starts_.begin(), starts_.end(), [&](const ObservedRun &later) {
                return std::any_of(starts_.begin(), starts_.end(), [&](const ObservedRun &row) {
                    return row.acknowledged && row.task == later.task
                            && *row.completedAt < later.startedAt;
                });
            }));
}

JobSpec CellSimulation::job(const std::string &id, std::int64_t tasks)
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.payload = "payload";
    StepSpec step;
    step.tasks = tasks;
    step.need.processors = Millicores(1000);
    step.need.memory = Bytes(1 << 20);
    step.estimate = Milliseconds(500);
    spec.steps = {step};
    return spec;
}

} // namespace caraway::tests
