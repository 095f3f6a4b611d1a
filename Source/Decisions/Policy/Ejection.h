#pragma once

#include "Decisions/WorkerHealth.h"

#include <concepts>
#include <map>
#include <string>
#include <vector>

namespace caraway {

/// A worker whose allowance of work changed.
struct AllowanceChange
{
    WorkerId worker;
    std::string state;
};

/// Decides which workers get work, by what became of the tasks that they ran.
template<class E>
concept Ejection = requires(E ejection, const E &constEjection, TimePoint now,
                            const WorkerId &worker, TaskOutcome outcome, std::size_t count)
{
    /// How many workers the shard has.
    ejection.setWorkerCount(count);
    ejection.onOutcome(now, worker, outcome);
    ejection.onTick(now);
    {
        constEjection.allowanceOf(worker)
        } -> std::same_as<WorkAllowance>;
    /// The changes since the last call.
    {
        ejection.takeChanges()
        } -> std::same_as<std::vector<AllowanceChange>>;
};

/// The plain model: every worker gets work.
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

/// Ejects workers that fail far more than the others do at the same kinds of work. It ejects at
/// most a fifth of the shard, and one in shards of two to nine.
class FleetRateEjection
{
public:
    void setWorkerCount(std::size_t count) { workerCount_ = count; }
    void onOutcome(TimePoint now, const WorkerId &worker, const TaskOutcome &outcome);
    void onTick(TimePoint now);
    WorkAllowance allowanceOf(const WorkerId &worker) const;
    std::vector<AllowanceChange> takeChanges();

private:
    WorkerHealth &healthOf(const WorkerId &worker);
    bool isFarWorse(const WorkerHealth &health) const;
    bool mayEjectOneMore() const;
    void noteIfChanged(const WorkerId &worker, const WorkerHealth &health, WorkAllowance before);

    std::size_t workerCount_ = 0;
    std::map<WorkerId, WorkerHealth> workers_;
    /// What the windows of all workers hold, by kind.
    std::map<KindId, OutcomeWindow::Count> fleet_;
    std::vector<AllowanceChange> changes_;
};
static_assert(Ejection<FleetRateEjection>);

} // namespace caraway
