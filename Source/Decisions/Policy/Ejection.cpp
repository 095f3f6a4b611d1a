#include "Decisions/Policy/Ejection.h"

#include "Decisions/StableHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t maxEjectedPercent = 20;
/// Number of failures above those expected at the other workers' failure rate from which a worker
/// is an outlier.
constexpr double ejectionExcess = 3.0;
/// Number of other workers' runs of a kind below which their failure rate is not compared.
constexpr std::uint32_t minOtherRuns = 5;

} // namespace

void OutlierEjection::onOutcome(TimePoint now, const WorkerId &worker, const TaskOutcome &outcome)
{
    WorkerHealth &health = healthOf(worker);
    OutcomeWindow::Count &added = fleetCounts_[outcome.kind];
    ++added.runs;
    added.failures += outcome.failed ? 1 : 0;
    if (const std::optional<TaskOutcome> oldest = health.window.add(outcome)) {
        OutcomeWindow::Count &removed = fleetCounts_[oldest->kind];
        --removed.runs;
        removed.failures -= oldest->failed ? 1 : 0;
    }
    const WorkAllowance before = health.allowance();
    health.onOutcome(now, outcome.failed, isOutlier(health), mayEjectOneMore());
    recordIfChanged(worker, health, before);
}

void OutlierEjection::onTick(TimePoint now)
{
    for (auto &[worker, health] : workers_) {
        const WorkAllowance before = health.allowance();
        health.onTick(now);
        recordIfChanged(worker, health, before);
    }
}

WorkAllowance OutlierEjection::allowanceOf(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? WorkAllowance::All : found->second.allowance();
}

std::vector<AllowanceChange> OutlierEjection::takeChanges()
{
    return std::exchange(changes_, {});
}

WorkerHealth &OutlierEjection::healthOf(const WorkerId &worker)
{
    return workers_.try_emplace(worker, stableHash(worker.value())).first->second;
}

bool OutlierEjection::isOutlier(const WorkerHealth &health) const
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
        const OutcomeWindow::Count &all = fleetCounts_.at(kind);
        const std::uint32_t otherRuns = all.runs - count.runs;
        if (otherRuns < minOtherRuns)
            continue;
        const double otherRate = double(all.failures - count.failures) / otherRuns;
        // Failures of one job count once, as the job itself may be the cause of them all.
        const auto failures = static_cast<double>(failedJobs[kind].size());
        excess += std::max(0.0, failures - otherRate * count.runs);
    }
    return excess >= ejectionExcess;
}

bool OutlierEjection::mayEjectOneMore() const
{
    const auto ejected = std::ranges::count_if(
            workers_, [](const auto &entry) { return !entry.second.isHealthy(); });
    const std::size_t limit = workerCount_ < 2
            ? 0
            : std::max<std::size_t>(1, workerCount_ * maxEjectedPercent / 100);
    return static_cast<std::size_t>(ejected) < limit;
}

void OutlierEjection::recordIfChanged(const WorkerId &worker, const WorkerHealth &health,
                                      WorkAllowance before)
{
    if (health.allowance() == before)
        return;
    if (health.isHealthy()) {
        // The worker's window was cleared, so the fleet's counts are recomputed.
        fleetCounts_.clear();
        for (const auto &[id, other] : workers_) {
            for (const TaskOutcome &outcome : other.window.outcomes()) {
                OutcomeWindow::Count &count = fleetCounts_[outcome.kind];
                ++count.runs;
                count.failures += outcome.failed ? 1 : 0;
            }
        }
    }
    changes_.push_back({worker, health.stateName()});
}

} // namespace caraway
