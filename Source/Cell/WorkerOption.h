#pragma once

#include "Cell/CellWorker.h"

namespace caraway::cell {

/// A run of a task under which workers have crashed.
struct SuspectRun
{
    JobId job;
    bool needsIsolation = false;
    /// The worker has not listed the run for long enough to show that it does not crash soon.
    bool isOnProbation = false;
};

/// A usable worker in one scheduling pass.
struct WorkerOption
{
    const CellWorker *worker = nullptr;
    /// Position among the usable workers, which are in the order of their names.
    std::size_t position = 0;
    /// Capacity neither allocated nor reserved for candidates earlier in the order; it only shrinks
    /// during a pass.
    Resources free;
    /// The part of the free capacity that candidates earlier in the order are likely to use, which
    /// wait for approvals.
    Resources earmarked;
    /// Capacity that is free, or will be when tasks end: all but that of long-running tasks.
    Resources reclaimable;
    /// Free capacity for which the policy service was asked on behalf of waiting tasks, and has not
    /// answered yet.
    Resources requested;
    /// More is allocated than the worker has, as its capacity has shrunk. Nothing starts there,
    /// not even a task that needs nothing of what is missing.
    bool isOvercommitted = false;
    /// Only tasks of this or a more urgent priority may use the worker; nothing when all may.
    std::optional<std::int64_t> reservedFor;
    /// Runs on the worker of tasks under which workers have crashed.
    std::vector<SuspectRun> suspects;

    Resources available() const { return free - earmarked; }
    bool hasAvailableProcessors() const { return free.processors > earmarked.processors; }
};

} // namespace caraway::cell
