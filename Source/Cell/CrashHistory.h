#pragma once

#include "Cell/CellTypes.h"

#include <set>

namespace caraway::cell {

/// The crashes of workers under the runs of one task, and the rule by which its job is given up.
class CrashHistory
{
public:
    CrashHistory() = default;
    explicit CrashHistory(std::set<WorkerCrash> crashes)
        : crashes_(std::move(crashes))
    {
    }

    /// Returns false when the crash was counted before.
    bool add(const WorkerCrash &crash) { return crashes_.insert(crash).second; }
    const std::set<WorkerCrash> &crashes() const { return crashes_; }
    std::size_t count() const { return crashes_.size(); }
    bool isEmpty() const { return crashes_.empty(); }
    /// Whether the task is placed on a worker of its own where possible.
    bool needsIsolation() const;
    /// Whether the job is given up. Crashes have many causes, so the task is started as often as
    /// one that crashes its workers may be.
    bool shouldGiveUp() const;
    /// The workers and incarnations, for the log.
    std::string describe() const;

private:
    std::set<WorkerCrash> crashes_;
};

} // namespace caraway::cell
