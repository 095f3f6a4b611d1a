#include "Decisions/Policy/TaskPlacer.h"

#include "Decisions/Policy/BaselinePolicy.h"

#include <fmt/format.h>

namespace caraway {

namespace {

constexpr Milliseconds retryAfterFullQueue(1000);

} // namespace

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::reset()
{
    ledger_.clearReservations();
    queue_ = {};
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::setWorker(const WorkerMember &worker, bool isOpen)
{
    ledger_.setCapacity(worker.id, worker.capacity);
    ledger_.setOpen(worker.id, isOpen);
}

template<SchedulingPolicy Policy>
std::optional<Refusal> TaskPlacer<Policy>::refusalOf(TimePoint /*now*/, const JobSpec &spec) const
{
    const KindPolicy *kind = preset_.findKind(spec.kind);
    if (!kind) {
        return Refusal {{ErrorKind::UnknownKind,
                         fmt::format("Preset {} has no kind {}. Use one that `preset show` lists.",
                                     preset_.name.value(), spec.kind.value())}};
    }
    if (!preset_.findTeam(spec.team)) {
        return Refusal {{ErrorKind::UnknownTeam,
                         fmt::format("Preset {} has no team {}. Use one that `preset show` lists.",
                                     preset_.name.value(), spec.team.value())}};
    }
    if (!ledger_.couldEverFit(spec.perTask)) {
        return Refusal {{ErrorKind::NeverFits,
                         "No worker of the shard is large enough for one task. Declare smaller "
                         "tasks."}};
    }
    if (queue_.size() + spec.taskCount > kind->queueBound) {
        return Refusal {{ErrorKind::QueueFull,
                         fmt::format("The queue for kind {} is full. Submit again later.",
                                     spec.kind.value())},
                        retryAfterFullQueue};
    }
    return std::nullopt;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::enqueue(TimePoint now, const JobSpec &spec, TaskIndex index)
{
    queue_.push({{spec.name, index}, spec.kind, spec.team, spec.perTask, now});
}

template<SchedulingPolicy Policy>
std::vector<PlacedTask> TaskPlacer<Policy>::place(TimePoint /*now*/)
{
    std::vector<PlacedTask> placed;
    while (const WaitingTask *front = queue_.front()) {
        const std::optional<WorkerId> worker = placement_.choose(ledger_, front->needs);
        if (!worker || !ledger_.reserve(*worker, front->needs))
            break;
        placed.push_back({*front, *worker});
        queue_.popFront();
    }
    return placed;
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onFound(const WorkerId &worker, const JobSpec &spec, TaskIndex /*index*/)
{
    ledger_.reserveFound(worker, spec.perTask);
}

template<SchedulingPolicy Policy>
void TaskPlacer<Policy>::onReleased(const WorkerId &worker, const JobSpec &spec,
                                    TaskIndex /*index*/)
{
    ledger_.release(worker, spec.perTask);
}

template class TaskPlacer<BaselinePolicy>;

} // namespace caraway
