#pragma once

#include "Cell/CellWorker.h"
#include "Cell/JobSpec.h"

#include <concepts>

namespace caraway::cell {

/// Scores a worker with enough free capacity for a task; the worker with the highest score is
/// chosen.
template<class Choice>
concept WorkerChoice = requires(const Choice &choice, const CellWorker &worker,
                                const Resources &free, const StepSpec &step)
{
    {
        choice.score(worker, free, step)
        } -> std::same_as<double>;
};

/// The baseline: all scores are equal, so the first worker with enough capacity is chosen.
struct FirstFitChoice
{
    static double score(const CellWorker & /*worker*/, const Resources & /*free*/,
                        const StepSpec & /*step*/)
    {
        return 0;
    }
};

/// The worker with the least capacity left after the placement, so that large tasks still fit on
/// others; workers on the rack of the step's data come before all others.
struct BestFitChoice
{
    static double score(const CellWorker &worker, const Resources &free, const StepSpec &step)
    {
        const Resources left = free - step.need;
        const double share = left.dominantShareOf(worker.entry->capacity);
        const std::vector<Label> &labels = worker.entry->labels;
        const bool isOnPreferredRack = !step.preferredRack.isEmpty()
                && std::find(labels.begin(), labels.end(), step.preferredRack) != labels.end();
        return (isOnPreferredRack ? 1.0 : 0.0) - share;
    }
};

static_assert(WorkerChoice<FirstFitChoice> && WorkerChoice<BestFitChoice>);

} // namespace caraway::cell
