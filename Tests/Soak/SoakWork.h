#pragma once

#include "Soak/SoakTypes.h"

#include <mutex>
#include <set>

namespace caraway::tests {

/// What the runs of a job's tasks do; a job's spec is its text.
struct SoakJobPlan
{
    struct Step
    {
        /// Members of the gang; 0 for a step of independent tasks.
        std::int64_t members = 0;
        std::int64_t millicores = 0;
    };

    Milliseconds work;
    /// The first runs of each task or gang that fail.
    std::int64_t failures = 0;
    bool needsTicket = false;
    std::vector<Step> steps;

    std::string toSpec() const;
    static SoakJobPlan fromSpec(const std::string &spec);
};

/// The part of a task's name that names its step.
std::string soakStepNameOf(const SoakTaskId &task);
std::size_t soakStepOf(const SoakTaskId &task);
std::size_t soakIndexOf(const SoakTaskId &task);

/// The progress of all runs, which the members of a gang share across workers.
class SoakWork
{
public:
    /// A run of the task on a worker.
    struct Run
    {
        SoakTaskId task;
        SoakRunNumber number;
        SoakJobPlan plan;
        Milliseconds startedAt;
        bool fails = false;
    };

    /// A run has started.
    Run begin(SoakTaskId task, SoakRunNumber number, SoakJobPlan plan);
    /// How the run has ended by itself; nothing while it goes on.
    std::optional<std::string> endOf(const Run &run) const;
    /// When endOf() may change next.
    Milliseconds nextChange(const Run &run) const;
    /// The run has ended, by itself or otherwise.
    void end(const Run &run, const std::string &how);

private:
    struct Gang
    {
        std::set<std::size_t> present;
        std::optional<Milliseconds> completeSince;
        bool isBroken = false;
    };
    using GangKey = std::pair<std::string, SoakRunNumber>;

    static const SoakJobPlan::Step &stepOf(const Run &run);
    static bool isGang(const Run &run) { return stepOf(run).members > 0; }
    static GangKey gangKeyOf(const Run &run) { return {soakStepNameOf(run.task), run.number}; }
    /// What fails together: a task, or a gang.
    static std::string unitOf(const Run &run);
    /// When all tasks needed are at work; nothing before that.
    std::optional<Milliseconds> workingSince(const Run &run) const;

    mutable std::mutex mutex_;
    std::map<GangKey, Gang> gangs_;
    std::map<std::string, std::int64_t> failures_;
};

} // namespace caraway::tests
