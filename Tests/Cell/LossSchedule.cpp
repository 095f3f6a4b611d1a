#include "Cell/LossSchedule.h"

#include <algorithm>
#include <functional>

namespace caraway::tests {

using namespace cell;

namespace {

constexpr std::size_t instanceCount = 3;
constexpr std::size_t workerCount = 8;
constexpr std::int64_t slotsPerWorker = 8;
constexpr Milliseconds trafficDuration {9000};
constexpr Milliseconds longestRun {60'000};
constexpr Milliseconds checkInterval {25};
/// The users' bound for a task that could run.
constexpr Milliseconds longestIdle {3000};
constexpr Milliseconds resubmitInterval {2000};
/// A worker's longest lease on a clock that may be two percent slow, with the margins.
constexpr Milliseconds leaseBound {6000 + 120 + 150 + 50};
/// The lease that a leaving worker has after its announced time.
constexpr Milliseconds leavingLeaseBound {2500 + 50 + 150 + 50};
/// How long an earlier holder may renew leases, and the longest lease after that (KNOWN-RED.txt).
constexpr Milliseconds takeoverBound {2300 + 6000 + 120 + 300 + 50};
/// Until a holder has found that a worker is lost, and has stored that it is closed.
constexpr Milliseconds closesWorkerWithin {5000};
constexpr Milliseconds readsWorkersWithin {1000};
/// Until a start without any reply is taken as unanswered.
constexpr Milliseconds longestStartCall {1000};
/// Until a holder uses a worker again that has answered again.
constexpr Milliseconds longestAvoidance {2000};

} // namespace

LossSchedule::LossSchedule(std::uint64_t seed, std::vector<Loss> kinds)
    : seed_(seed)
    , random_(seed)
    , simulation_(instanceCount, workerCount)
    , deliveries_(workerCount, Delivery::Delivered)
{
    configure();
    simulation_.advanceUntil([&] { return simulation_.holder().has_value(); }, Milliseconds(5000));
    simulation_.advance(Milliseconds(1000));
    addJobs();
    for (int i = 0; i < 3; ++i) {
        const Loss loss
                = kinds[static_cast<std::size_t>(pick(static_cast<std::int64_t>(kinds.size())))];
        schedule(pickTime(500, trafficDuration.count()), [this, loss] { applyLoss(loss); });
    }
}

std::int64_t LossSchedule::pick(std::int64_t limit)
{
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit));
}

Milliseconds LossSchedule::pickTime(std::int64_t least, std::int64_t most)
{
    return Milliseconds(least + pick(most - least));
}

void LossSchedule::configure()
{
    Queue &queue = simulation_.configuration.queues.front();
    queue.maxAttempts = 50;
    Queue patient = queue;
    patient.id = QueueId("patient");
    patient.host = "patient";
    patient.priority = 2;
    Queue approved = queue;
    approved.id = QueueId("approved");
    approved.host = "approved";
    approved.priority = 1;
    approved.approval = ApprovalSettings {Milliseconds(20), 100, Milliseconds(1500)};
    simulation_.configuration.queues.push_back(patient);
    simulation_.configuration.queues.push_back(approved);
    simulation_.configuration.version = ConfigurationVersion(2);
    simulation_.publishConfiguration();
    for (std::size_t i = 0; i < workerCount; ++i)
        simulation_.worker(i).stopDuration = pickTime(0, 900);

    simulation_.plan = [this](const TaskKey &task, RunNumber) {
        const JobId &job = task.job;
        const auto found = std::find_if(jobs_.begin(), jobs_.end(), [&](const SubmittedJob &row) {
            return row.spec.id == job;
        });
        if (found->spec.steps[task.step.value()].longRunning)
            return SimulatedWorker::RunPlan {longestRun * 10, CompletionReason::Succeeded};
        const bool fails = pick(20) == 0;
        return SimulatedWorker::RunPlan {pickTime(200, 3000),
                                         fails ? CompletionReason::Failed
                                               : CompletionReason::Succeeded};
    };
    simulation_.approves = [this](const StepKey &step, const WorkerId &worker) {
        return isApproved(step.job.value(), worker);
    };
    simulation_.approvalDelivery = [this](const InstanceId &, const ApprovalRequest &) {
        if (isReplyDropped())
            return pick(2) == 0 ? Delivery::ReplyDropped : Delivery::Dropped;
        return areApprovalsAnswered_ ? Delivery::Delivered : Delivery::Lost;
    };
    simulation_.workerDelivery
            = [this](const InstanceId &, const WorkerRequest &request) { return deliver(request); };
    simulation_.storeDelivery = [this](const InstanceId &, const StoreRequest &) {
        if (isReplyDropped())
            return pick(2) == 0 ? Delivery::ReplyDropped : Delivery::Dropped;
        const bool isHit = storeDelivery_ != Delivery::Delivered && pick(3) > 0;
        return isHit ? storeDelivery_ : Delivery::Delivered;
    };
}

void LossSchedule::addJobs()
{
    const std::vector<std::string> hosts {"host", "patient", "approved"};
    for (int i = 0; i < 9; ++i) {
        SubmittedJob &job = jobs_.emplace_back();
        job.host = hosts[static_cast<std::size_t>(pick(3))];
        job.submitAt = now() + pickTime(0, trafficDuration.count());
        job.spec = CellSimulation::job("job-" + std::to_string(i), 1 + pick(4));
        StepSpec &first = job.spec.steps.front();
        const std::int64_t shape = pick(5);
        if (shape == 1 || shape == 2) {
            StepSpec second = first;
            second.after = {StepIndex(0)};
            second.gang = shape == 2;
            job.spec.steps.push_back(second);
        } else if (shape == 3) {
            first.gang = true;
            first.tasks = 3 + pick(8);
        } else if (shape == 4) {
            first.longRunning = i % 2 == 0;
        }
    }
}

void LossSchedule::schedule(Milliseconds delay, std::function<void()> action)
{
    actions_.push_back({now() + delay, std::move(action)});
}

void LossSchedule::applyLoss(Loss loss)
{
    const auto worker = static_cast<std::size_t>(pick(workerCount));
    simulation_.log += "loss=" + std::to_string(static_cast<int>(loss)) + " worker="
            + std::to_string(worker) + " t=" + std::to_string(now().sinceStart().count()) + "\n";
    switch (loss) {
    case Loss::WorkerCrash:
        loseWorker(worker, pickTime(500, 6000));
        break;
    case Loss::WorkerLostForGood:
        loseWorker(worker, std::nullopt);
        break;
    case Loss::WorkerCutOff:
        disturbWorker(worker, Delivery::Lost, pickTime(300, 12'000));
        break;
    case Loss::WorkerRepliesLost:
        disturbWorker(worker, Delivery::AnswerLost, pickTime(300, 6000));
        break;
    case Loss::WorkerRefusingConnections:
        disturbWorker(worker, Delivery::NotSent, pickTime(300, 6000));
        break;
    case Loss::WorkerUnhealthy:
        disturbWorker(worker, Delivery::Refused, pickTime(300, 6000));
        break;
    case Loss::WorkerLeaving:
        announceLeaving(worker);
        break;
    case Loss::EntryRemoved:
        removeEntry(worker);
        break;
    case Loss::HolderKilled:
        killHolder();
        break;
    case Loss::HolderAndWorkerKilled:
        loseWorker(worker, std::nullopt);
        killHolder();
        break;
    case Loss::HolderKilledTwice:
        killHolder();
        schedule(Milliseconds(1), [this] { killNextHolder(); });
        break;
    case Loss::HolderPaused:
        pauseHolder(pickTime(300, 9000));
        break;
    case Loss::StoreRefusing:
        disturbStore(Delivery::Refused, pickTime(300, 3000));
        break;
    case Loss::StoreRepliesLost:
        disturbStore(Delivery::AnswerLost, pickTime(300, 3000));
        break;
    case Loss::ApprovalsUnanswered:
        leaveApprovalsUnanswered(pickTime(300, 3000));
        break;
    case Loss::RepliesDropped:
        dropReplies(pickTime(300, 2000));
        break;
    }
}

void LossSchedule::leaveApprovalsUnanswered(Milliseconds duration)
{
    areApprovalsAnswered_ = false;
    disruptedUntil(now() + duration);
    schedule(duration, [this] { areApprovalsAnswered_ = true; });
}

void LossSchedule::dropReplies(Milliseconds duration)
{
    droppedPercent_ = 20;
    disruptedUntil(now() + duration + longestStartCall);
    schedule(duration, [this] { droppedPercent_ = 0; });
}

void LossSchedule::loseWorker(std::size_t worker, std::optional<Milliseconds> restartAfter)
{
    if (simulation_.worker(worker).hasLeft())
        return;
    constexpr Milliseconds entryLifetime {3000};
    simulation_.crashWorker(worker);
    const TimePoint until = now() + restartAfter.value_or(longestRun * 2);
    losses_.push_back({worker, now(), until, leaseBound});
    if (restartAfter) {
        schedule(*restartAfter, [this, worker] { simulation_.restartWorker(worker); });
    } else {
        unlisted_.insert(worker);
        schedule(entryLifetime, [this, worker] { simulation_.removeWorker(worker); });
    }
}

void LossSchedule::disturbWorker(std::size_t worker, Delivery delivery, Milliseconds duration)
{
    if (deliveries_[worker] != Delivery::Delivered || simulation_.worker(worker).hasLeft())
        return;
    deliveries_[worker] = delivery;
    losses_.push_back({worker, now(), now() + duration, leaseBound});
    schedule(duration, [this, worker] { deliveries_[worker] = Delivery::Delivered; });
}

void LossSchedule::announceLeaving(std::size_t worker)
{
    if (unlisted_.contains(worker) || simulation_.worker(worker).hasLeft())
        return;
    const Milliseconds remaining = pickTime(2000, 7000);
    unlisted_.insert(worker);
    simulation_.announceLeaving(worker, remaining);
    losses_.push_back({worker, now() + remaining, now() + longestRun * 2, leavingLeaseBound});
    schedule(remaining, [this, worker] { simulation_.removeWorker(worker); });
}

void LossSchedule::removeEntry(std::size_t worker)
{
    if (unlisted_.contains(worker) || simulation_.worker(worker).hasLeft())
        return;
    unlisted_.insert(worker);
    simulation_.store().remove({RecordType::Workers, simulation_.worker(worker).entry.id.value()});
    const Milliseconds duration = pickTime(300, 4000);
    // A holder that takes over meanwhile has no address at which to read the worker.
    losses_.push_back({worker, now(), now() + duration, Milliseconds()});
    schedule(duration, [this, worker] {
        unlisted_.erase(worker);
        if (!simulation_.worker(worker).hasLeft())
            simulation_.publishWorker(worker);
    });
}

void LossSchedule::killHolder()
{
    const std::optional<std::size_t> holder = simulation_.holder();
    if (!holder)
        return;
    disruptedUntil(now());
    simulation_.kill(*holder);
    schedule(pickTime(1000, 8000), [this, holder] {
        if (!simulation_.isRunning(*holder))
            simulation_.restart(*holder);
    });
}

/// Kills the next holder as soon as it has claimed, before it has read its records.
void LossSchedule::killNextHolder()
{
    if (simulation_.holder())
        killHolder();
    else
        schedule(Milliseconds(1), [this] { killNextHolder(); });
}

void LossSchedule::pauseHolder(Milliseconds duration)
{
    const std::optional<std::size_t> holder = simulation_.holder();
    if (!holder)
        return;
    disruptedUntil(now());
    simulation_.pause(*holder);
    schedule(duration, [this, holder] {
        disruptedUntil(now());
        simulation_.resume(*holder);
    });
}

void LossSchedule::disturbStore(Delivery delivery, Milliseconds duration)
{
    storeDelivery_ = delivery;
    disruptedUntil(now() + duration);
    schedule(duration, [this] { storeDelivery_ = Delivery::Delivered; });
}

LossSchedule::Delivery LossSchedule::deliver(const WorkerRequest &request)
{
    if (isReplyDropped())
        return pick(2) == 0 ? Delivery::ReplyDropped : Delivery::Dropped;
    const std::size_t worker = simulation_.indexOf(request.worker);
    const Delivery delivery = deliveries_[worker];
    const auto *start = std::get_if<WorkerStart>(&request.command);
    const bool isLost = delivery != Delivery::Delivered || simulation_.worker(worker).hasLeft();
    if (start && isLost) {
        for (std::size_t i = 0; i < losses_.size(); ++i) {
            if (losses_[i].worker != worker || now() < losses_[i].from || now() > losses_[i].until)
                continue;
            for (SubmittedJob &job : jobs_) {
                if (job.spec.id == start->task.job)
                    job.lostStarts.insert(i);
            }
        }
    }
    return delivery;
}

std::string LossSchedule::run()
{
    const TimePoint end = now() + longestRun;
    while (now() < end) {
        simulation_.advance(Milliseconds(1));
        // An action may add further ones.
        for (std::size_t i = 0; i < actions_.size();) {
            if (actions_[i].at > now()) {
                ++i;
                continue;
            }
            const std::function<void()> action = std::move(actions_[i].action);
            actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(i));
            action();
        }
        if (now().sinceStart().count() % checkInterval.count() != 0)
            continue;
        observeHolder();
        submitDueJobs();
        if (std::string problem = check(); !problem.empty())
            return problem;
        const bool areAllDone = std::all_of(jobs_.begin(), jobs_.end(),
                                            [&](const SubmittedJob &job) { return isDone(job); });
        if (areAllDone && actions_.empty() && now() > calmFrom_ + longestIdle
            && now() > end - longestRun + trafficDuration + longestIdle)
            break;
    }
    return finalState();
}

void LossSchedule::submitDueJobs()
{
    for (SubmittedJob &job : jobs_) {
        if (job.isAccepted || now() < job.submitAt)
            continue;
        const std::optional<CallerAnswer> answer
                = job.request ? simulation_.answerOf(*job.request) : std::nullopt;
        if (answer && answer->outcome == CallerOutcome::Accepted) {
            job.isAccepted = true;
            continue;
        }
        const auto instance = static_cast<std::size_t>(pick(instanceCount));
        if (!simulation_.isRunning(instance))
            continue;
        job.request = simulation_.submit(instance, job.spec, job.host);
        job.submitAt = now() + resubmitInterval;
    }
}

void LossSchedule::observeHolder()
{
    const bool isAnyRunning
            = simulation_.isRunning(0) || simulation_.isRunning(1) || simulation_.isRunning(2);
    if (!isAnyRunning)
        disruptedUntil(now());
    const std::optional<std::size_t> holder = simulation_.holder();
    if (!holder) {
        isHolderMissing_ = true;
        return;
    }
    // An instance that was restarted may become the holder again.
    if (lastHolder_ && (lastHolder_ != holder || isHolderMissing_))
        takeovers_.push_back({lastHolderAt_, now()});
    isHolderMissing_ = false;
    lastHolder_ = holder;
    lastHolderAt_ = now();
}

std::string LossSchedule::check()
{
    if (simulation_.overloads() > 0)
        return "a worker is over its capacity";
    for (SubmittedJob &job : jobs_) {
        for (std::size_t step = 0; step < job.spec.steps.size() && job.isAccepted; ++step) {
            if (std::string problem = checkStep(job, step); !problem.empty())
                return problem;
        }
    }
    return {};
}

std::string LossSchedule::checkStep(SubmittedJob &job, std::size_t step)
{
    if (!couldRun(job, step)) {
        job.heldSince.erase(step);
        return {};
    }
    const TimePoint since = job.heldSince.try_emplace(step, now()).first->second;
    const TimePoint from = std::max({since, calmFrom_, excusedUntil(job)});
    if (now() - from <= longestIdle)
        return {};
    return job.spec.id.value() + " step " + std::to_string(step) + " could run since "
            + std::to_string(since.sinceStart().count()) + ", at the latest from "
            + std::to_string(from.sinceStart().count()) + ", and did not until "
            + std::to_string(now().sinceStart().count());
}

bool LossSchedule::couldRun(const SubmittedJob &job, std::size_t index) const
{
    const StepSpec &step = job.spec.steps[index];
    const auto tasks = static_cast<std::size_t>(step.tasks);
    const bool isRunning = step.longRunning ? runningTasks(job, index) == tasks
                                            : runningTasks(job, std::nullopt) > 0;
    if (isRunning || (!step.longRunning && doneTasks(job, index) == tasks))
        return false;
    for (const StepIndex dependency : step.after) {
        if (doneTasks(job, dependency.value())
            < static_cast<std::size_t>(job.spec.steps[dependency.value()].tasks))
            return false;
    }
    std::int64_t free = 0;
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (std::size_t i = 0; i < workerCount; ++i) {
        if (!isAvailable(i))
            continue;
        const SimulatedWorker &worker = simulation_.worker(i);
        const auto running = static_cast<std::int64_t>(worker.running().size());
        capacity += slotsPerWorker;
        used += running;
        if (job.host != "approved" || isApproved(job.spec.id.value(), worker.entry.id))
            free += slotsPerWorker - running;
    }
    return free >= (step.gang ? step.tasks : 1) * 2 && used * 2 < capacity;
}

std::size_t LossSchedule::doneTasks(const SubmittedJob &job, std::size_t step) const
{
    std::set<TaskIndex> done;
    for (const CellSimulation::ObservedRun &row : simulation_.starts()) {
        if (row.task.job == job.spec.id && row.task.step == StepIndex(step) && row.completedAt
            && row.reason == CompletionReason::Succeeded)
            done.insert(row.task.index);
    }
    const StepSpec &spec = job.spec.steps[step];
    return spec.gang && !done.empty() ? static_cast<std::size_t>(spec.tasks) : done.size();
}

std::size_t LossSchedule::runningTasks(const SubmittedJob &job,
                                       std::optional<std::size_t> step) const
{
    const auto &starts = simulation_.starts();
    return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [&](const CellSimulation::ObservedRun &row) {
                return row.task.job == job.spec.id && !row.completedAt
                        && (!step || row.task.step == StepIndex(*step));
            }));
}

bool LossSchedule::isAvailable(std::size_t worker) const
{
    const bool isLost = std::any_of(losses_.begin(), losses_.end(), [&](const WorkerLoss &loss) {
        return loss.worker == worker && now() >= loss.from && now() < loss.until + longestAvoidance;
    });
    return !isLost && !unlisted_.contains(worker);
}

bool LossSchedule::isApproved(const std::string &job, const WorkerId &worker) const
{
    constexpr std::size_t deniedShare = 4;
    const std::size_t first = std::hash<std::string>()(job + std::to_string(seed_));
    return (first + simulation_.indexOf(worker)) % deniedShare != 0;
}

/// Whether a run of the job, its completion or its start may have been lost with the worker.
bool LossSchedule::mayHaveRunIn(const SubmittedJob &job, std::size_t index) const
{
    constexpr Milliseconds recordedWithin {1000};
    const WorkerLoss &loss = losses_[index];
    const auto &starts = simulation_.starts();
    return job.lostStarts.contains(index)
            || std::any_of(starts.begin(), starts.end(),
                           [&](const CellSimulation::ObservedRun &row) {
                               return row.task.job == job.spec.id
                                       && simulation_.indexOf(row.worker) == loss.worker
                                       && row.startedAt < loss.until
                                       && (!row.completedAt
                                           || *row.completedAt + recordedWithin >= loss.from);
                           });
}

/// Whether the next holder cannot know that the earlier one has closed the worker.
bool LossSchedule::isOpenAt(const WorkerLoss &loss, const Takeover &takeover) const
{
    if (loss.from > takeover.lostAt - closesWorkerWithin)
        return true;
    return std::any_of(takeovers_.begin(), takeovers_.end(), [&](const Takeover &earlier) {
        return earlier.startedAt < takeover.startedAt && loss.from <= earlier.startedAt
                && takeover.lostAt - earlier.startedAt < takeoverBound + closesWorkerWithin
                && isOpenAt(loss, earlier);
    });
}

TimePoint LossSchedule::excusedUntil(const SubmittedJob &job) const
{
    TimePoint until;
    for (std::size_t i = 0; i < losses_.size(); ++i) {
        const WorkerLoss &loss = losses_[i];
        if (now() < loss.from)
            continue;
        const bool mayHaveRun = mayHaveRunIn(job, i);
        if (mayHaveRun)
            until = std::max(until, std::min(loss.until, loss.from + loss.lease));
        for (const Takeover &takeover : takeovers_) {
            const bool isUnread = loss.from <= takeover.startedAt + readsWorkersWithin
                    && loss.until > takeover.startedAt;
            if (isUnread && (mayHaveRun || isOpenAt(loss, takeover)))
                until = std::max(until, std::min(loss.until, takeover.startedAt + takeoverBound));
        }
    }
    return until;
}

bool LossSchedule::isDone(const SubmittedJob &job) const
{
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        const StepSpec &step = job.spec.steps[i];
        const auto tasks = static_cast<std::size_t>(step.tasks);
        if ((step.longRunning ? runningTasks(job, i) : doneTasks(job, i)) < tasks)
            return false;
    }
    return true;
}

std::string LossSchedule::finalState()
{
    if (simulation_.overlaps() > 0)
        return "a task had two runs at once";
    for (const SubmittedJob &job : jobs_) {
        const bool isLongRunning = job.spec.steps.front().longRunning;
        std::string shown;
        const auto isShown = [&] {
            const std::optional<std::size_t> holder = simulation_.holder();
            const std::optional<JobState> state
                    = holder ? simulation_.stateOf(*holder, job.spec.id) : std::nullopt;
            if (!state)
                return false;
            const JobState expected = isLongRunning ? JobState::Running : JobState::Completed;
            shown = std::to_string(static_cast<int>(*state));
            return *state == expected;
        };
        if (!simulation_.advanceUntil(isShown, takeoverBound + longestIdle))
            return job.spec.id.value() + " is shown as " + shown + " at "
                    + std::to_string(now().sinceStart().count());
    }
    return simulation_.overlaps() > 0 ? "a task had two runs at once" : "";
}

} // namespace caraway::tests
