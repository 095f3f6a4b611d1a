#include "Decisions/Policy/Ejection.h"

#include "Decisions/StableHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t ejectedPercent = 20;
/// Failures above what the other workers' rate explains that count as far worse.
constexpr double excessFailures = 3.0;
/// Other workers' runs of a kind without which nothing can be said about it.
constexpr std::uint32_t leastOtherRuns = 5;

} // namespace

void FleetRateEjection::onOutcome(TimePoint now, const WorkerId &worker, const TaskOutcome &outcome)
{
    WorkerHealth &health = healthOf(worker);
    OutcomeWindow::Count &added = fleet_[outcome.kind];
    ++added.runs;
    added.failures += outcome.failed ? 1 : 0;
    if (const std::optional<TaskOutcome> oldest = health.window.add(outcome)) {
        OutcomeWindow::Count &removed = fleet_[oldest->kind];
        --removed.runs;
        removed.failures -= oldest->failed ? 1 : 0;
    }
    const WorkAllowance before = health.allowance();
    health.onOutcome(now, outcome.failed, isFarWorse(health), mayEjectOneMore());
    noteIfChanged(worker, health, before);
}

void FleetRateEjection::onTick(TimePoint now)
{
    for (auto &[worker, health] : workers_) {
        const WorkAllowance before = health.allowance();
        health.onTick(now);
        noteIfChanged(worker, health, before);
    }
}

WorkAllowance FleetRateEjection::allowanceOf(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? WorkAllowance::All : found->second.allowance();
}

std::vector<AllowanceChange> FleetRateEjection::takeChanges()
{
    return std::exchange(changes_, {});
}

WorkerHealth &FleetRateEjection::healthOf(const WorkerId &worker)
{
    return workers_.try_emplace(worker, stableHash(worker.value())).first->second;
}

bool FleetRateEjection::isFarWorse(const WorkerHealth &health) const
{
    std::map<KindId, OutcomeWindow::Count> own;
    std::map<KindId, std::set<JobName>> failedJobs;
    for (const TaskOutcome &outcome : health.window.outcomes()) {
        OutcomeWindow::Count &count = own[outcome.kind];
        ++count.runs;
        count.failures += outcome.failed ? 1 : 0;
        if (outcome.failed)
            failedJobs[outcome.kind].insert(outcome.job);
    }
    double excess = 0;
    for (const auto &[kind, count] : own) {
        const OutcomeWindow::Count &all = fleet_.at(kind);
        const std::uint32_t otherRuns = all.runs - count.runs;
        if (otherRuns < leastOtherRuns)
            continue;
        const double otherRate = double(all.failures - count.failures) / otherRuns;
        // However many tasks of one job fail, they may all fail for the job's own fault.
        const auto failures = static_cast<double>(failedJobs[kind].size());
        excess += std::max(0.0, failures - otherRate * count.runs);
    }
    return excess >= excessFailures;
}

bool FleetRateEjection::mayEjectOneMore() const
{
    const auto out = std::ranges::count_if(
            workers_, [](const auto &entry) { return !entry.second.isHealthy(); });
    const std::size_t most
            = workerCount_ < 2 ? 0 : std::max<std::size_t>(1, workerCount_ * ejectedPercent / 100);
    return static_cast<std::size_t>(out) < most;
}

void FleetRateEjection::noteIfChanged(const WorkerId &worker, const WorkerHealth &health,
                                      WorkAllowance before)
{
    if (health.allowance() == before)
        return;
    if (health.isHealthy()) {
        // Its window is empty now, and so the fleet's counts are made anew.
        fleet_.clear();
        for (const auto &[id, other] : workers_) {
            for (const TaskOutcome &outcome : other.window.outcomes()) {
                OutcomeWindow::Count &count = fleet_[outcome.kind];
                ++count.runs;
                count.failures += outcome.failed ? 1 : 0;
            }
        }
    }
    changes_.push_back({worker, health.stateName()});
}

} // namespace caraway
