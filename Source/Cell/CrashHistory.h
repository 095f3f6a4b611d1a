#pragma once

#include "Cell/CellTypes.h"

#include <set>

namespace caraway::cell {

/// The crashes of workers under the runs of one task, and the rule by which its job is given up.
class CrashHistory
{
public:
    CrashHistory() = default;
    CrashHistory(std::set<WorkerCrash> crashes, std::set<WorkerCrash> shared)
        : crashes_(std::move(crashes))
        , shared_(std::move(shared))
    {
    }

    /// Returns false when the crash was added before. \a isShared tells that other workers went
    /// down with this one, so that the task is not suspected of it.
    bool add(const WorkerCrash &crash, bool isShared = false);
    const std::set<WorkerCrash> &crashes() const { return crashes_; }
    /// Those of crashes() that have a common cause with outages of other workers.
    const std::set<WorkerCrash> &shared() const { return shared_; }
    std::size_t count() const { return crashes_.size(); }
    /// The crashes that the task may have caused.
    std::size_t ownCount() const { return crashes_.size() - shared_.size(); }
    bool isEmpty() const { return crashes_.empty(); }
    bool isSuspect() const { return ownCount() > 0; }
    /// Whether the task may have crashed a worker, to judge by its other crashes than \a crash.
    bool mayExplain(const WorkerCrash &crash) const;
    /// Whether the task is placed on a worker of its own where possible.
    bool needsIsolation() const;
    /// Whether the job is given up. Crashes have many causes, so the task is started as often as
    /// one that crashes its workers may be. Shared crashes are held against it only beside several
    /// of its own, as those of other tasks may coincide with its own.
    bool shouldGiveUp() const;
    /// The workers and incarnations, for the log.
    std::string describe() const;

private:
    std::set<WorkerCrash> crashes_;
    std::set<WorkerCrash> shared_;
};

} // namespace caraway::cell
