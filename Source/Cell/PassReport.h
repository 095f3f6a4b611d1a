#pragma once

#include "Cell/ApprovalDecision.h"
#include "Core/Units.h"

#include <algorithm>
#include <cstddef>

namespace caraway::cell {

/// What one scheduling pass has looked at.
struct PassReport
{
    /// Steps that the pass tried to start.
    std::size_t candidates = 0;
    /// How many workers were looked at, summed over the candidates. Comparing the scores of workers
    /// that were looked at before does not count.
    std::size_t workerChecks = 0;
    ApprovalDecisionCounts approvalDecisions = {};
};

/// How long a scheduling pass has taken.
struct PassDuration
{
    Microseconds processorTime;
    /// More than the processor time when the pass had to wait for the processor.
    Microseconds elapsed;
};

/// Sums over the scheduling passes since the last log line.
struct PassTotals
{
    std::size_t passes = 0;
    std::size_t candidates = 0;
    std::size_t workerChecks = 0;
    ApprovalDecisionCounts approvalDecisions = {};
    Microseconds processorTime;
    Microseconds longest;

    void add(const PassReport &report)
    {
        ++passes;
        candidates += report.candidates;
        workerChecks += report.workerChecks;
        for (std::size_t i = 0; i < approvalDecisions.size(); ++i)
            approvalDecisions[i] += report.approvalDecisions[i];
    }
    void addTime(Microseconds time)
    {
        processorTime += time;
        longest = std::max(longest, time);
    }
};

} // namespace caraway::cell
