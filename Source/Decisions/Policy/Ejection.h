#pragma once

#include "Decisions/WorkerHealth.h"

#include <concepts>
#include <map>
#include <string>
#include <vector>

namespace caraway {

/// A worker whose work allowance changed, and the state of its health chart.
struct AllowanceChange
{
    WorkerId worker;
    std::string state;
};

/// Decides which workers may be given work, by the outcomes of the tasks that they ran.
template<class E>
concept Ejection = requires(E ejection, const E &constEjection, TimePoint now,
                            const WorkerId &worker, TaskOutcome outcome, std::size_t count)
{
    /// Sets the number of workers in the shard.
    ejection.setWorkerCount(count);
    ejection.onOutcome(now, worker, outcome);
    ejection.onTick(now);
    {
        constEjection.allowanceOf(worker)
        } -> std::same_as<WorkAllowance>;
    /// Returns the changes since the last call.
    {
        ejection.takeChanges()
        } -> std::same_as<std::vector<AllowanceChange>>;
};

/// Ejects no worker.
class NeverEject
{
public:
    void setWorkerCount(std::size_t /*count*/) { }
    void onOutcome(TimePoint /*now*/, const WorkerId & /*worker*/, const TaskOutcome & /*outcome*/)
    {
    }
    void onTick(TimePoint /*now*/) { }
    WorkAllowance allowanceOf(const WorkerId & /*worker*/) const { return WorkAllowance::All; }
    std::vector<AllowanceChange> takeChanges() { return {}; }
};
static_assert(Ejection<NeverEject>);

/// Ejects workers whose tasks fail far more often than tasks of the same kinds do on the other
/// workers. At most a fifth of the shard's workers are out of service at a time; in a shard of two
/// to nine workers at most one, in a shard of one none.
class OutlierEjection
{
public:
    void setWorkerCount(std::size_t count) { workerCount_ = count; }
    void onOutcome(TimePoint now, const WorkerId &worker, const TaskOutcome &outcome);
    void onTick(TimePoint now);
    WorkAllowance allowanceOf(const WorkerId &worker) const;
    std::vector<AllowanceChange> takeChanges();

private:
    WorkerHealth &healthOf(const WorkerId &worker);
    bool isOutlier(const WorkerHealth &health) const;
    bool mayEjectOneMore() const;
    void recordIfChanged(const WorkerId &worker, const WorkerHealth &health, WorkAllowance before);

    std::size_t workerCount_ = 0;
    std::map<WorkerId, WorkerHealth> workers_;
    /// Runs and failures in the outcome windows of all workers, by kind.
    std::map<KindId, OutcomeWindow::Count> fleetCounts_;
    std::vector<AllowanceChange> changes_;
};
static_assert(Ejection<OutlierEjection>);

} // namespace caraway
