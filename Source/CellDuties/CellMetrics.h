#pragma once

#include "Cell/CellInstance.h"
#include "Core/Stopwatch.h"
#include "Duties/Metrics.h"

namespace caraway::cell {

/// Counts the actions of the decisions and measures the time that they take. Used by the thread of
/// the decisions only.
class CellMetrics
{
public:
    void count(const CellActions &actions);
    void observeDecision(double seconds)
    {
        metrics_.observe({Metric::DecisionSeconds, seconds, {}});
    }
    void observePass(const PassReport &report, Microseconds processorTime);
    void countEvents(std::size_t events);
    void countReply(const WorkerReplied &replied);
    std::string render() const { return metrics_.render(); }

private:
    Metrics metrics_;
};

} // namespace caraway::cell
