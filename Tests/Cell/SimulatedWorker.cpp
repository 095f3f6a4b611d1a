#include "Cell/SimulatedWorker.h"

#include <algorithm>

namespace caraway::tests {

using namespace cell;

namespace {

/// The processors that CellSimulation::job() requires for each task.
constexpr Millicores runProcessors {1000};
constexpr std::size_t maxCompletionsPerReply = 500;

} // namespace

WorkerTime SimulatedWorker::clock(TimePoint now) const
{
    const std::int64_t elapsed = (now - startedAt_).count();
    const std::int64_t lost = clockSlownessDivisor > 0 ? elapsed / clockSlownessDivisor : 0;
    return WorkerTime(elapsed - lost + 1);
}

Percent SimulatedWorker::progressOf(const Run &run, TimePoint now)
{
    constexpr std::int64_t percent = 100;
    const std::int64_t duration = (run.completesAt - run.startedAt).count();
    return Percent((now - run.startedAt).count() * percent / std::max<std::int64_t>(duration, 1));
}

WorkerReply SimulatedWorker::listRuns(TimePoint now) const
{
    WorkerReply reply;
    reply.outcome = WorkerOutcome::Done;
    reply.clock = clock(now);
    reply.incarnation = entry.incarnation;
    for (const Run &run : running_)
        reply.running.push_back({run.task, run.run, {}, progressOf(run, now)});
    reply.completed = listed(now);
    return reply;
}

std::vector<CompletedRun> SimulatedWorker::listed(TimePoint now) const
{
    std::vector<CompletedRun> rows;
    for (const CompletedRun &completion : completed_) {
        if (rows.size() < maxCompletionsPerReply && listedFrom_.at(completion.number) <= now)
            rows.push_back(completion);
    }
    if (listsLatestFirst)
        std::ranges::reverse(rows);
    return rows;
}

bool SimulatedWorker::fits() const
{
    const auto runs = static_cast<std::int64_t>(running_.size()) + 1;
    return runProcessors * runs <= entry.capacity.processors;
}

WorkerReply SimulatedWorker::start(TimePoint now, const WorkerStart &command)
{
    WorkerReply reply;
    reply.clock = clock(now);
    if (command.deadline < clock(now)) {
        reply.outcome = WorkerOutcome::DeadlinePassed;
        return reply;
    }
    extendLease(command.deadline);
    const bool isRunning = std::any_of(running_.begin(), running_.end(), [&](const Run &run) {
        return run.task == command.task && run.run == command.run;
    });
    const bool isClosed
            = std::any_of(closedRuns_.begin(), closedRuns_.end(), [&](const auto &closed) {
                  return closed.first == command.task && command.run <= closed.second;
              });
    reply.outcome = isClosed && !isRunning ? WorkerOutcome::Superseded : WorkerOutcome::Done;
    if (isRunning || isClosed)
        return reply;
    if (refusesOverload && !fits()) {
        reply.outcome = WorkerOutcome::InsufficientCapacity;
        return reply;
    }
    const RunPlan planned = plan(command.task, command.run);
    running_.push_back({command.task, command.run, now, now + planned.duration, planned.reason});
    if (planned.crashesAfter)
        running_.back().crashesAt = now + *planned.crashesAfter;
    onStarted(*this, running_.back());
    if (planned.crashesAfter == Milliseconds()) {
        crash(now);
        return {};
    }
    return reply;
}

void SimulatedWorker::handle(TimePoint now, const WorkerRequest &request, const Reply &reply)
{
    if (isDown()) {
        reply({});
        return;
    }
    // Only a list of runs names the incarnation.
    WorkerReply answer;
    answer.clock = clock(now);
    answer.outcome = WorkerOutcome::Fenced;
    if (request.token < token_) {
        reply(answer);
        return;
    }
    token_ = request.token;
    if (!executesCallsForOthers
        && request.incarnation.value_or(entry.incarnation) != entry.incarnation) {
        answer.outcome = WorkerOutcome::OtherIncarnation;
        answer.incarnation = entry.incarnation;
        reply(answer);
        return;
    }
    if (const auto *command = std::get_if<WorkerStart>(&request.command)) {
        reply(start(now, *command));
        return;
    }
    if (const auto *command = std::get_if<WorkerStop>(&request.command)) {
        closedRuns_.emplace_back(command->task, command->run);
        for (std::size_t i = 0; i < running_.size(); ++i) {
            Run &run = running_[i];
            if (run.task != command->task || run.run != command->run)
                continue;
            if (stopDuration == Milliseconds()) {
                complete(now, i, CompletionReason::Stopped);
            } else if (now + stopDuration < run.completesAt) {
                run.completesAt = now + stopDuration;
                run.reason = CompletionReason::Stopped;
            }
            break;
        }
        answer.outcome = WorkerOutcome::Done;
        reply(answer);
        answerHeartbeats(now);
        return;
    }
    const auto &heartbeat = std::get<WorkerHeartbeat>(request.command);
    extendLease(heartbeat.deadline);
    acknowledge(heartbeat.acknowledged);
    pendingHeartbeats_.push_back({now + heartbeat.wait, reply});
    answerHeartbeats(now);
}

void SimulatedWorker::complete(TimePoint now, std::size_t index, CompletionReason reason)
{
    const Run run = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    closedRuns_.emplace_back(run.task, run.run);
    const auto checkpoint = checkpoints.find(reason);
    lastCompletion_ += numberInterval;
    const CompletionNumber number(lastCompletion_);
    completed_.push_back({number, run.task, run.run, reason,
                          checkpoint == checkpoints.end() ? std::string() : checkpoint->second});
    listedFrom_[number] = now + (listingDelay ? listingDelay(number) : Milliseconds());
    onCompleted(*this, run, reason);
}

void SimulatedWorker::acknowledge(CompletionNumber number)
{
    while (!completed_.empty() && completed_.front().number <= number) {
        if (onAcknowledged && completed_.front().number.value() > lastBeforeExpiry_)
            onAcknowledged(*this, completed_.front());
        acknowledgedUnlisted_ += listed_.erase(completed_.front().number) == 0 ? 1 : 0;
        listedFrom_.erase(completed_.front().number);
        completed_.erase(completed_.begin());
    }
}

void SimulatedWorker::answerHeartbeats(TimePoint now)
{
    for (auto pending = pendingHeartbeats_.begin(); pending != pendingHeartbeats_.end();) {
        if (now < pending->deadline && listed(now).empty()) {
            ++pending;
            continue;
        }
        const Reply reply = std::move(pending->reply);
        pending = pendingHeartbeats_.erase(pending);
        const WorkerReply answer = listRuns(now);
        for (const CompletedRun &completion : answer.completed)
            listed_.insert(completion.number);
        reply(answer);
    }
}

void SimulatedWorker::tick(TimePoint now)
{
    if (hasLeft_)
        return;
    if (isDown()) {
        if (now < *returnsAt_)
            return;
        restart(now);
        onReturned(*this);
    }
    const bool crashes = std::any_of(running_.begin(), running_.end(), [&](const Run &run) {
        return run.crashesAt && now >= *run.crashesAt;
    });
    if (crashes) {
        crash(now);
        return;
    }
    for (std::size_t i = running_.size(); i > 0; --i) {
        if (clock(now) > leaseDeadline_)
            complete(now, i - 1, CompletionReason::LeaseExpired);
        else if (now >= running_[i - 1].completesAt)
            complete(now, i - 1, running_[i - 1].reason);
    }
    if (clock(now) > leaseDeadline_)
        lastBeforeExpiry_ = lastCompletion_;
    answerHeartbeats(now);
}

void SimulatedWorker::breakGang(TimePoint now, const StepKey &step, RunNumber run)
{
    for (std::size_t i = running_.size(); i > 0; --i) {
        const Run &member = running_[i - 1];
        if (member.run == run && stepOf(member.task) == step)
            complete(now, i - 1, CompletionReason::GangMemberStopped);
    }
    answerHeartbeats(now);
}

void SimulatedWorker::loseRuns()
{
    for (const Run &run : std::exchange(running_, {}))
        onCompleted(*this, run, CompletionReason::Failed);
}

void SimulatedWorker::leave()
{
    hasLeft_ = true;
    for (const Run &run : std::exchange(running_, {}))
        onCompleted(*this, run, CompletionReason::LeaseExpired);
    pendingHeartbeats_.clear();
}

void SimulatedWorker::crash(TimePoint now)
{
    onCrashed(*this);
    for (const Run &run : std::exchange(running_, {}))
        onCompleted(*this, run, CompletionReason::LeaseExpired);
    dropHeartbeats();
    returnsAt_ = now + downtime;
}

void SimulatedWorker::dropHeartbeats()
{
    for (const PendingHeartbeat &pending : std::exchange(pendingHeartbeats_, {})) {
        if (resetsConnections)
            pending.reply({});
    }
}

void SimulatedWorker::restart(TimePoint now)
{
    returnsAt_.reset();
    for (const Run &run : running_)
        onCompleted(*this, run, CompletionReason::LeaseExpired);
    running_.clear();
    completed_.clear();
    listedFrom_.clear();
    listed_.clear();
    closedRuns_.clear();
    dropHeartbeats();
    hasLeft_ = false;
    lastCompletion_ = 0;
    lastBeforeExpiry_ = 0;
    token_ = {};
    leaseDeadline_ = {};
    startedAt_ = now;
    entry.incarnation = WorkerIncarnation(entry.incarnation.value() + 1);
}

} // namespace caraway::tests
