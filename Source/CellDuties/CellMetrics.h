#pragma once

#include "Cell/CellContext.h"
#include "Core/Stopwatch.h"
#include "Duties/Metrics.h"

namespace caraway::cell {

/// Counts what the decisions ask for and measures how long they take. Of one thread.
class CellMetrics
{
public:
    void count(const CellActions &actions);
    void observeDecision(double seconds)
    {
        metrics_.observe({Metric::DecisionSeconds, seconds, {}});
    }
    void countEvents(std::size_t events);
    std::string render() const { return metrics_.render(); }

private:
    Metrics metrics_;
};

} // namespace caraway::cell
