#include "Soak/SoakWorker.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace caraway::tests {

namespace {

using Json = nlohmann::json;
using Times = SoakWorkerTimes;

constexpr Milliseconds longestPause {50};
constexpr std::int64_t missedBeats = 3;

std::chrono::milliseconds toChrono(Milliseconds duration)
{
    return std::chrono::milliseconds(duration.count());
}

} // namespace

SoakWorker::SoakWorker(SoakStore &store, SoakJournal &journal, SoakWork &work, SoakAdvice &advice,
                       WorkerId id, std::string rack, std::int64_t slowness,
                       bool listsEndsUnordered)
    : store_(store)
    , journal_(journal)
    , work_(work)
    , advice_(advice)
    , id_(std::move(id))
    , rack_(std::move(rack))
    , slowness_(slowness)
    , listsEndsUnordered_(listsEndsUnordered)
    , server_([this](const SoakRequest &request) { return handle(request); })
{
    {
        const std::lock_guard lock(mutex_);
        begin(Milliseconds(0));
    }
    loop_ = std::thread([this] { loop(); });
}

SoakWorker::~SoakWorker()
{
    {
        const std::lock_guard lock(mutex_);
        isClosing_ = true;
        changed_.notify_all();
    }
    loop_.join();
}

void SoakWorker::crash()
{
    journal_.addWorkerCrash(id_);
    if (!server_.isCut())
        server_.crash();
    const std::lock_guard lock(mutex_);
    isUp_ = false;
    for (const auto &[key, active] : running_) {
        journal_.endRun(active.run, "crash");
        work_.end(active.work, "crash");
    }
    running_.clear();
    ends_.clear();
    changed_.notify_all();
}

void SoakWorker::restart(Milliseconds stepBack)
{
    if (!server_.isCut())
        server_.restart();
    const std::lock_guard lock(mutex_);
    begin(stepBack);
    journal_.write(fmt::format("worker {} starts again, incarnation {}, time of day {} ms back",
                               id_.value(), incarnation_.value(), stepBack.count()));
    changed_.notify_all();
}

void SoakWorker::announceLeaving(Milliseconds remaining)
{
    const std::lock_guard lock(mutex_);
    journal_.write(fmt::format("worker {} leaves in {} ms", id_.value(), remaining.count()));
    leavesAt_ = soakNow() + remaining;
    nextBeat_ = soakNow();
    changed_.notify_all();
}

void SoakWorker::replace(WorkerId id)
{
    {
        const std::lock_guard lock(mutex_);
        advice_.remove(id_);
        id_ = std::move(id);
    }
    restart(Milliseconds(0));
}

void SoakWorker::setCut(bool isCut, bool alsoStore)
{
    journal_.write(fmt::format("worker {} is {}", id_.value(),
                               !isCut              ? "reachable again"
                                       : alsoStore ? "cut off"
                                                   : "cut off from the instances"));
    server_.setCut(isCut);
    const std::lock_guard lock(mutex_);
    isStoreCut_ = isCut && alsoStore;
}

void SoakWorker::cutFromHolder(std::int64_t token, bool isOnHolderSide)
{
    journal_.write(fmt::format("worker {} is cut off from {}token {}", id_.value(),
                               isOnHolderSide ? "all but " : "", token));
    const std::lock_guard lock(mutex_);
    holderCut_ = HolderCut {token, isOnHolderSide};
}

void SoakWorker::healCutFromHolder()
{
    const std::lock_guard lock(mutex_);
    holderCut_.reset();
}

void SoakWorker::setOrderDelay(Milliseconds delay, bool outlivesRestart)
{
    const std::lock_guard lock(mutex_);
    orderDelay_ = delay;
    doOrdersOutliveRestart_ = outlivesRestart;
}

void SoakWorker::begin(Milliseconds stepBack)
{
    const auto realTime = static_cast<std::uint64_t>(soakUnixMs() - stepBack.count());
    incarnation_ = SoakIncarnation(
            stepBack.count() > 0 ? realTime : std::max(realTime, incarnation_.next().value()));
    ++life_;
    advice_.setLife(id_, incarnation_);
    bornAt_ = soakNow();
    leavesAt_.reset();
    running_.clear();
    ends_.clear();
    lastEnd_ = 0;
    fence_ = 0;
    leaseEnd_ = 0;
    highest_.clear();
    sequence_ = 0;
    nextBeat_ = soakNow();
    isUp_ = true;
}

std::int64_t SoakWorker::clock() const
{
    return (soakNow() - bornAt_).count() * (1000 - slowness_) / 1000;
}

void SoakWorker::loop()
{
    std::unique_lock lock(mutex_);
    while (!isClosing_) {
        Milliseconds next = soakNow() + longestPause;
        if (isUp_)
            next = std::min({next, beat(), endDueRuns()});
        changed_.wait_for(lock, toChrono(std::max(next - soakNow(), Milliseconds(1))));
    }
}

Milliseconds SoakWorker::endDueRuns()
{
    const Milliseconds now = soakNow();
    const bool hasLapsed = clock() > leaseEnd_;
    for (auto &[number, end] : ends_)
        end.hasLapsed = end.hasLapsed || hasLapsed;
    Milliseconds next = now + longestPause;
    if (hasEndsToList())
        changed_.notify_all();
    for (auto active = running_.begin(); active != running_.end();) {
        const Active &run = active->second;
        std::string how;
        if (run.stopsAt && now >= *run.stopsAt)
            how = "stopped";
        else if (const std::optional<std::string> end = work_.endOf(run.work))
            how = *end;
        else if (hasLapsed)
            how = "lapsed";
        if (how.empty()) {
            next = std::min({next, work_.nextChange(run.work), run.stopsAt.value_or(next)});
            ++active;
            continue;
        }
        journal_.endRun(run.run, how, ++lastEnd_);
        work_.end(run.work, how);
        SoakRunNumber &highest = highest_[active->first.first];
        highest = std::max(highest, active->first.second);
        const bool isLate = listsEndsUnordered_ && lastEnd_ % Times::lateListedInterval == 0;
        ends_[lastEnd_] = {run.run, active->first, how, hasLapsed,
                           now + (isLate ? Times::lateListing : Milliseconds(0))};
        active = running_.erase(active);
        changed_.notify_all();
    }
    return next;
}

Milliseconds SoakWorker::beat()
{
    if (soakNow() < nextBeat_)
        return nextBeat_;
    Json entry {{"service", "work"},
                {"address", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", leavesAt_ ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", Times::millicores}, {"memMb", 65'536}, {"gpus", 0}}},
                {"labels", {"a", rack_}},
                {"clockMs", clock()},
                {"born", incarnation_.value()},
                {"sequence", sequence_ + 1}};
    if (leavesAt_)
        entry["remainingMs"] = std::max((*leavesAt_ - soakNow()).count(), std::int64_t(0));
    const bool isWritten = !isStoreCut_
            && store_.beat("servers/" + id_.value(), entry, Times::beat * missedBeats);
    sequence_ += isWritten ? 1 : 0;
    nextBeat_ = soakNow() + (isWritten ? Times::beat : Times::beatRetry);
    return nextBeat_;
}

SoakResponse SoakWorker::handle(const SoakRequest &request)
{
    std::unique_lock lock(mutex_);
    const std::int64_t life = life_;
    const bool isLate = orderDelay_ > Milliseconds(0);
    const bool outlivesRestart = doOrdersOutliveRestart_;
    if (isLate) {
        changed_.wait_for(lock, toChrono(orderDelay_),
                          [&] { return isClosing_ || (life_ != life && !outlivesRestart); });
    }
    if (!isUp_ || (life_ != life && !outlivesRestart))
        return {0, "", true};
    if (request.expectInstance != id_.value())
        return {421};
    const Json body = Json::parse(request.body);
    const std::int64_t token = body.value("fencingToken", std::int64_t(0));
    if (isCutFrom(token))
        return {0, "", true};
    if (token < fence_)
        return refusal("fence");
    fence_ = token;
    SoakResponse response {400};
    if (request.path == "/carawaymount/run-start")
        response = start(body, isLate);
    else if (request.path == "/carawaymount/run-stop")
        response = stop(body);
    else if (request.path == "/carawaymount/hold")
        response = hold(body, lock);
    response.isSilent = response.isSilent || isLate || isCutFrom(token);
    return response;
}

SoakResponse SoakWorker::start(const Json &body, bool isLate)
{
    const SoakTaskId task(body.at("task").get<std::string>());
    const SoakRunNumber number(body.at("run").get<std::uint64_t>());
    if (clock() > body.at("deadlineMs").get<std::int64_t>())
        return refusal("late");
    extendLease(body);
    if (running_.contains({task, number}))
        return {200, Json {{"clockMs", clock()}}.dump()};
    if (const auto highest = highest_.find(task);
        highest != highest_.end() && number <= highest->second)
        return refusal("old");
    SoakJobPlan plan = SoakJobPlan::fromSpec(body.at("spec").get<std::string>());
    if (plan.needsTicket && !advice_.isValid(body.value("ticket", ""), soakStepNameOf(task), id_))
        return refusal("ticket");
    if (!hasRoomFor(task, plan))
        return refusal("room");
    SoakRun run;
    run.task = task;
    run.number = number;
    run.worker = id_;
    run.incarnation = incarnation_;
    run.fencingToken = fence_;
    run.millicores = plan.steps.at(soakStepOf(task)).millicores;
    run.isLate = isLate;
    running_[{task, number}]
            = {journal_.addRun(run), work_.begin(task, number, std::move(plan)), std::nullopt};
    changed_.notify_all();
    return {200, Json {{"clockMs", clock()}}.dump()};
}

bool SoakWorker::hasRoomFor(const SoakTaskId &task, const SoakJobPlan &plan) const
{
    std::int64_t needed = plan.steps.at(soakStepOf(task)).millicores;
    for (const auto &[key, active] : running_)
        needed += active.work.plan.steps.at(soakStepOf(key.first)).millicores;
    return needed <= Times::millicores;
}

SoakResponse SoakWorker::stop(const Json &body)
{
    const SoakTaskId task(body.at("task").get<std::string>());
    const SoakRunNumber number(body.at("run").get<std::uint64_t>());
    SoakRunNumber &highest = highest_[task];
    highest = std::max(highest, number);
    const auto active = running_.find({task, number});
    if (active != running_.end() && !active->second.stopsAt) {
        active->second.stopsAt = soakNow() + Times::stop;
        changed_.notify_all();
    }
    return {200, Json {{"clockMs", clock()}}.dump()};
}

SoakResponse SoakWorker::hold(const Json &body, std::unique_lock<std::mutex> &lock)
{
    endDueRuns();
    acknowledge(body.value("ackedThrough", std::int64_t(0)));
    extendLease(body);
    const std::int64_t life = life_;
    const Milliseconds wait(std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t(0))));
    changed_.wait_for(lock, toChrono(wait),
                      [&] { return hasEndsToList() || !isUp_ || life_ != life || isClosing_; });
    if (!isUp_ || life_ != life)
        return {0, "", true};
    return {200,
            Json {{"clockMs", clock()},
                  {"born", incarnation_.value()},
                  {"running", runningRows()},
                  {"finished", finishedRows()}}
                    .dump()};
}

void SoakWorker::acknowledge(std::int64_t through)
{
    while (!ends_.empty() && ends_.begin()->first <= through) {
        journal_.noteEnd(ends_.begin()->second.run, ends_.begin()->second.hasLapsed, fence_);
        ends_.erase(ends_.begin());
    }
}

void SoakWorker::extendLease(const Json &body)
{
    const std::int64_t deadline = body.value("deadlineMs", std::int64_t(0));
    leaseEnd_ = std::max(leaseEnd_, std::min(deadline, clock() + Times::longestLease.count()));
}

SoakResponse SoakWorker::refusal(const char *reason) const
{
    const Json body {{"clockMs", clock()}, {"born", incarnation_.value()}, {"reason", reason}};
    return {409, body.dump()};
}

Json SoakWorker::runningRows() const
{
    Json rows = Json::array();
    for (const auto &[key, run] : running_) {
        const std::int64_t total = std::max<std::int64_t>(run.work.plan.work.count(), 1);
        const std::int64_t passed = (soakNow() - run.work.startedAt).count();
        rows.push_back({key.first.value(), key.second.value(), "",
                        std::clamp<std::int64_t>(passed * 100 / total, 0, 99), 1000});
    }
    return rows;
}

bool SoakWorker::hasEndsToList() const
{
    return std::ranges::any_of(ends_,
                               [](const auto &row) { return row.second.listedFrom <= soakNow(); });
}

Json SoakWorker::finishedRows()
{
    Json rows = Json::array();
    for (const auto &[number, end] : ends_) {
        if (rows.size() == 500)
            break;
        if (end.listedFrom > soakNow())
            continue;
        journal_.listEnd(end.run);
        rows.push_back({number, end.key.first.value(), end.key.second.value(), end.how, ""});
    }
    if (listsEndsUnordered_)
        std::reverse(rows.begin(), rows.end());
    return rows;
}

} // namespace caraway::tests
