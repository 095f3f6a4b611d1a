#pragma once

#include "Cell/CellTypes.h"

#include <set>

namespace caraway::cell {

/// What a crash of a worker tells about the tasks with runs there.
enum class CrashEvidence {
    /// One job had runs there, and few other workers failed at that time.
    OnlySuspect,
    /// One job had runs there, but other workers failed too.
    CommonCause,
    /// Several jobs had runs there, and the task has more unexplained crashes than any task of the
    /// others.
    MainSuspect,
    /// Several jobs had runs there.
    SharedWorker,
};

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
    bool needsIsolation() const { return count() >= isolationCrashes; }
    /// Another job that was given up explains the crash. Only one crash is explained so, as
    /// the task may have caused them as well.
    void explain(const WorkerCrash &crash);
    /// Crashes that no other job explains.
    std::size_t unexplained() const { return crashes_.size() - explained_.size(); }
    /// Whether the job is given up after its last crash, which gave \a evidence.
    bool shouldGiveUp(CrashEvidence evidence) const;
    /// The workers and incarnations, for the log.
    std::string describe() const;

private:
    static constexpr std::size_t isolationCrashes = 2;
    std::set<WorkerCrash> crashes_;
    std::set<WorkerCrash> explained_;
};

} // namespace caraway::cell
