#pragma once

#include "Core/Clock.h"
#include "Decisions/Job.h"
#include "Decisions/Ledger.h"
#include "Decisions/Preset.h"

#include <concepts>
#include <optional>

/// What a scheduling policy must offer. Each concept has a plain model and a real one.
namespace caraway {

/// A task that waits for a place.
struct WaitingTask
{
    TaskId task;
    KindId kind;
    TeamId team;
    Resources needs;
    TimePoint since;
};

/// Decides which waiting task is placed next.
template<class Q>
concept TaskQueue = requires(Q queue, const Q &constQueue, WaitingTask waiting, const TaskId &task)
{
    queue.push(waiting);
    {
        queue.remove(task)
        } -> std::same_as<bool>;
    /// The next task to try; nothing when none waits.
    {
        constQueue.front()
        } -> std::same_as<const WaitingTask *>;
    queue.popFront();
    {
        constQueue.size()
        } -> std::same_as<std::size_t>;
};

/// Chooses a worker with room.
template<class P>
concept Placement = requires(P placement, const Ledger &ledger, const Resources &needs)
{
    {
        placement.choose(ledger, needs)
        } -> std::same_as<std::optional<WorkerId>>;
};

/// Everything that varies in how a shard schedules.
template<class P>
concept SchedulingPolicy = requires
{
    requires TaskQueue<typename P::Queue>;
    requires Placement<typename P::Placement>;
};

} // namespace caraway
