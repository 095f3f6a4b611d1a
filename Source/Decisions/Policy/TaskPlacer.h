#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Ledger.h"
#include "Decisions/Policy/Concepts.h"
#include "Decisions/Preset.h"

#include <optional>
#include <vector>

namespace caraway {

/// Why a job is not taken, and when it makes sense to ask again.
struct Refusal
{
    Error error;
    Milliseconds retryAfter;
};

/// A task with the worker that was chosen and reserved for it.
struct PlacedTask
{
    WaitingTask waiting;
    WorkerId worker;
};

/// Decides for one shard which jobs are taken, which task is next and where it goes. It keeps
/// the ledger; whoever starts the tasks tells it what became of each.
template<SchedulingPolicy Policy>
class TaskPlacer
{
public:
    /// Forgets every task and reservation; the workers stay, closed.
    void reset();
    void usePreset(const Preset &preset) { preset_ = preset; }

    void setWorker(const WorkerMember &worker, bool isOpen);
    void closeWorker(const WorkerId &worker) { ledger_.setOpen(worker, false); }
    /// Forgets a worker that is gone for good.
    void removeWorker(const WorkerId &worker) { ledger_.removeAccount(worker); }

    /// Why \a spec is refused; nothing when it is taken.
    std::optional<Refusal> refusalOf(TimePoint now, const JobSpec &spec) const;
    /// Queues a task, for the first time or again.
    void enqueue(TimePoint now, const JobSpec &spec, TaskIndex index);
    /// Takes a waiting task out of the queue; false when it does not wait.
    bool withdraw(const TaskId &task) { return queue_.remove(task); }
    /// Chooses and reserves places for as many waiting tasks as find room.
    std::vector<PlacedTask> place(TimePoint now);

    /// A task was found to occupy \a worker already.
    void onFound(const WorkerId &worker, const JobSpec &spec, TaskIndex index);
    /// A task is known not to occupy \a worker any more.
    void onReleased(const WorkerId &worker, const JobSpec &spec, TaskIndex index);

    std::size_t waitingCount() const { return queue_.size(); }
    const Ledger &ledger() const { return ledger_; }

private:
    Preset preset_;
    Ledger ledger_;
    typename Policy::Queue queue_;
    typename Policy::Placement placement_;
};

} // namespace caraway
