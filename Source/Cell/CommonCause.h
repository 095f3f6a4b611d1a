#pragma once

#include "Cell/CellTypes.h"
#include "Core/Clock.h"

#include <optional>
#include <vector>

namespace caraway::cell {

/// When an incarnation of a worker became unreachable or ended, as far as the holder knows.
struct WorkerOutage
{
    WorkerIncarnation incarnation;
    /// Its last reply before.
    TimePoint from;
    /// The first call without an answer, or the first sign of a later incarnation.
    TimePoint until;
    /// The tasks whose runs were there.
    std::vector<TaskKey> runs;

    bool hasRunOf(const JobId &job) const;
    /// Whether both may have begun at the same moment.
    bool coincidesWith(const WorkerOutage &other) const;
};

/// Tells a crash that the task's worker shared with others from one that the task may have caused.
/// A task that crashes its workers leaves those without a run of its job up.
class CommonCause
{
public:
    /// The workers that had no run of the task's job when its worker crashed.
    struct Others
    {
        /// Went down at the same time.
        std::size_t down = 0;
        /// Of these, the ones that had runs of tasks that may have crashed them.
        std::size_t explained = 0;
        std::size_t stayedUp = 0;
        /// Were down before, or are not known well enough.
        std::size_t unknown = 0;
    };

    static bool explains(const Others &others);
    /// Whether explains() holds whatever further workers are counted.
    static bool isCertain(const Others &others);
};

} // namespace caraway::cell
