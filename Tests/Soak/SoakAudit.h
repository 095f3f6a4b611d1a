#pragma once

#include "Soak/SoakJournal.h"

#include <set>

namespace caraway::tests {

/// A broken rule, with what a trace needs.
struct SoakFinding
{
    std::string rule;
    std::string text;
};

/// Checks what workers and clients saw.
class SoakAudit
{
public:
    /// \a fleetMillicores: the processors of all workers.
    /// \a unfinished: what instances show of accepted jobs, in the end, other than `completed`.
    SoakAudit(const SoakJournal &journal, std::vector<SoakJob> jobs,
              const std::vector<SoakAnswer> &unfinished, std::int64_t fleetMillicores);

    /// All findings; a task or a job is named once for each rule.
    std::vector<SoakFinding> findings() const;

private:
    using Runs = std::vector<SoakRun>;

    void checkOverlaps(const Runs &runs);
    void checkStartsAfterDone(const Runs &runs);
    void checkJob(const SoakJob &job);
    void checkOrder(const SoakJob &job);
    void checkAttempts(const SoakJob &job);
    void checkGangs(const SoakJob &job);
    /// Whether the first step of the job waited for long beside workers that were mostly idle, with
    /// nothing disturbed.
    void checkWait(const SoakJob &job);
    /// The most processors that were in use at any time of the span.
    std::int64_t mostMillicores(Milliseconds from, Milliseconds to) const;
    void checkAnswer(const SoakAnswer &answer);
    /// \a answers are those of all instances for one job.
    void checkUnfinished(const JobName &job, const std::vector<SoakAnswer> &answers);
    /// Whether \a target was disturbed in the span, or shortly before it.
    bool isDisturbed(const std::string &target, Milliseconds from, Milliseconds to) const;
    /// Whether the task had ended as done by then; of a gang one such end stands for all members.
    bool isDoneBy(const SoakJob &job, const SoakTaskId &task, Milliseconds time) const;
    void add(const std::string &rule, std::string text);

    std::int64_t fleetMillicores_;
    std::map<SoakTaskId, Runs> runs_;
    std::map<JobName, SoakJob> jobs_;
    std::vector<SoakDisturbance> disturbances_;
    std::vector<SoakFinding> findings_;
    /// Jobs that were shown as failed without cause.
    std::set<JobName> wronglyFailed_;
};

} // namespace caraway::tests
