#include "cases.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t readyMs = 15'000;
constexpr std::int64_t settleMs = 3000;
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t spanMs = 3000;
constexpr std::int64_t askIntervalMs = 2000;
constexpr std::int64_t lookIntervalMs = 50;

bool hasRun(Fleet &fleet, const WaitingJob &job)
{
    const std::string step = job.id + ".0." + std::to_string(job.step) + ".";
    return std::ranges::any_of(fleet.journal().runsOf(job.id),
                               [&](const Run &run) { return run.task.starts_with(step); });
}

bool couldRun(Fleet &fleet, const WaitingJob &job)
{
    std::int64_t room = 0;
    for (const auto &worker : fleet.workers()) {
        const bool mayRun = job.onlyOn.empty() || job.onlyOn == worker->id();
        if (mayRun && worker->isUp())
            room += std::max<std::int64_t>(0, worker->cpu() - fleet.usedOn(worker->id())) / job.cpu;
    }
    return room >= 2 && fleet.used() * 2 < fleet.capacity();
}

} // namespace

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all {{"reserved-for-gang", reservedForGang},
                                                  {"stuck-approvals", stuckApprovals},
                                                  {"phantom-arrivals", phantomArrivals},
                                                  {"holders-killed", holdersKilled},
                                                  {"starts-never-arrive", startsNeverArrive}};
    return all;
}

Json smallJob(std::int64_t cpu)
{
    Json step {{"count", 1}, {"cpu", cpu}, {"memMb", 1024}, {"estimateMs", 2000}};
    return {{"spec", "work=2000 cpu=" + std::to_string(cpu)},
            {"steps", Json::array({std::move(step)})}};
}

bool start(Fleet &fleet)
{
    fleet.startInstances();
    if (!fleet.awaitReady(readyMs))
        return false;
    sleepMs(settleMs);
    return true;
}

int judge(Fleet &fleet, const WaitingJob &job, std::int64_t trafficEnd, std::int64_t lookMs)
{
    fleet.record().write("the traffic ended " + std::to_string(nowMs() - trafficEnd) + " ms ago");
    while (nowMs() < trafficEnd + finishMs) {
        sleepMs(std::min(askIntervalMs, trafficEnd + finishMs - nowMs()));
        fleet.ask(0, job.queue, job.id);
    }
    std::int64_t brokenSince = 0;
    std::int64_t longest = 0;
    const std::int64_t until = nowMs() + lookMs;
    while (nowMs() < until && !hasRun(fleet, job)) {
        if (!couldRun(fleet, job))
            brokenSince = 0;
        else if (brokenSince == 0)
            brokenSince = nowMs();
        longest = std::max(longest, brokenSince == 0 ? 0 : nowMs() - brokenSince);
        sleepMs(lookIntervalMs);
    }
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        fleet.ask(i, job.queue, job.id);
    fleet.record().write("in use " + std::to_string(fleet.used()) + " of "
                         + std::to_string(fleet.capacity())
                         + " millicores; the job had nothing running for " + std::to_string(longest)
                         + " ms from 14 s after the traffic on");
    return longest >= spanMs ? 1 : 0;
}

} // namespace review
