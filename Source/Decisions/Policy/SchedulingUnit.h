#pragma once

#include "Core/Clock.h"
#include "Decisions/Job.h"

#include <vector>

namespace caraway {

/// Index of a kind in a shard's PolicyTables, from 0.
using KindIndex = NumberId<struct KindIndexTag>;
/// Index of a team in a shard's PolicyTables, from 0.
using TeamIndex = NumberId<struct TeamIndexTag>;
/// Numbers the scheduling units of a shard in the order in which they were created.
using UnitNumber = NumberId<struct UnitNumberTag>;

/// The kind and the team to which a unit's use of resources is charged.
struct WorkOwner
{
    KindIndex kind;
    TeamIndex team;
};

/// Tasks that are placed together: one task, or all queued tasks of a gang.
struct SchedulingUnit
{
    UnitNumber number;
    std::vector<TaskId> tasks;
    WorkOwner owner;
    Resources needsPerTask;
    TimePoint queuedAt;
    /// Latest start that meets the wait promised by the preset.
    TimePoint deadline;
    /// Zero when the caller declared none.
    Milliseconds expectedRunTime;

    bool isGang() const { return tasks.size() > 1; }
    Resources needs() const
    {
        const auto count = static_cast<std::int64_t>(tasks.size());
        return {needsPerTask.processors * count, needsPerTask.memory * count,
                needsPerTask.accelerators * count, needsPerTask.slots * count};
    }
};

/// The resources that one task uses on a worker, and the owner they are charged to.
struct TaskAllocation
{
    WorkOwner owner;
    Resources needs;
};

/// The attributes of a kind that determine the order of the queue.
struct KindShare
{
    std::uint32_t weight = 1;
    bool urgent = false;
};

/// The attributes of a team that determine the order of the queue.
struct TeamShare
{
    std::uint32_t weight = 1;
    /// Limit on the resources that the team's running tasks use in the whole fleet.
    Resources quota;
    /// The part of the quota that this shard may allocate.
    Resources shardQuota;
};

} // namespace caraway
