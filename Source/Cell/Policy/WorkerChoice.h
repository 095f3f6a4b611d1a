#pragma once

#include "Cell/CellWorker.h"
#include "Cell/JobSpec.h"

#include <concepts>

namespace caraway::cell {

/// How well a worker suits a task that fits it; the highest value is taken.
template<class Choice>
concept WorkerChoice = requires(const Choice &choice, const CellWorker &worker,
                                const Resources &room, const StepSpec &step)
{
    {
        choice.suitability(worker, room, step)
        } -> std::same_as<double>;
};

/// The baseline: every worker suits alike, so the first that fits is taken.
struct FirstFitChoice
{
    static double suitability(const CellWorker & /*worker*/, const Resources & /*room*/,
                              const StepSpec & /*step*/)
    {
        return 0;
    }
};

/// The worker on which the least room is left, so that large tasks find room elsewhere; on the
/// rack of the step's data before all others.
struct TightFitChoice
{
    static double suitability(const CellWorker &worker, const Resources &room, const StepSpec &step)
    {
        const Resources left = room - step.need;
        const double share = left.dominantShareOf(worker.entry->capacity);
        const std::vector<Label> &labels = worker.entry->labels;
        const bool isNear = !step.preferredRack.isEmpty()
                && std::find(labels.begin(), labels.end(), step.preferredRack) != labels.end();
        return (isNear ? 1.0 : 0.0) - share;
    }
};

static_assert(WorkerChoice<FirstFitChoice> && WorkerChoice<TightFitChoice>);

} // namespace caraway::cell
