#pragma once

#include "Cell/UnmetNeeds.h"
#include "Cell/WorkerOption.h"

#include <algorithm>
#include <concepts>

namespace caraway::cell {

/// The usable workers of one upstream that have a label, in one scheduling pass.
class EligibleWorkers
{
public:
    /// \a usableWorkers is the number of all usable workers. With another \a rotation,
    /// visitAvailable() begins with another worker.
    explicit EligibleWorkers(std::size_t usableWorkers, std::size_t rotation = 0)
        : isMember_(usableWorkers)
        , nextVisited_(rotation)
    {
    }

    void add(WorkerOption &option);
    bool contains(const WorkerOption &option) const { return isMember_[option.position]; }
    /// In the order of their positions.
    const std::vector<WorkerOption *> &options() const { return options_; }

    /// Whether \a matches is true of any worker. The search begins with the worker that the last
    /// one found, as candidates in a row mostly match the same.
    template<std::predicate<const WorkerOption &> Matches>
    bool containsAny(const Matches &matches)
    {
        if (lastMatch_ && matches(*lastMatch_))
            return true;
        const auto found
                = std::find_if(options_.begin(), options_.end(),
                               [&](const WorkerOption *option) { return matches(*option); });
        if (found == options_.end())
            return false;
        lastMatch_ = *found;
        return true;
    }

    /// Calls \a visit once with each worker that has available processors, until it returns false.
    /// The next visit begins with the worker after the last one, so that earmarks spread over all
    /// workers.
    template<std::predicate<WorkerOption &> Visit>
    void visitAvailable(const Visit &visit)
    {
        std::size_t exhausted = 0;
        const std::size_t size = available_.size();
        for (std::size_t i = 0; i < size; ++i) {
            WorkerOption &option = *available_[nextVisited_++ % size];
            if (!option.hasAvailableProcessors())
                ++exhausted;
            else if (!visit(option))
                break;
        }
        if (exhausted > size / maxExhaustedDivisor) {
            std::erase_if(available_, [](const WorkerOption *option) {
                return !option->hasAvailableProcessors();
            });
        }
    }

    /// Needs for which no worker has enough free capacity; none will have it during the pass.
    UnmetNeeds unmetByFree;
    /// Needs for which no worker has enough available capacity.
    UnmetNeeds unmetByAvailable;

private:
    /// One visited worker in this many may have no available processors.
    static constexpr std::size_t maxExhaustedDivisor = 4;

    std::vector<WorkerOption *> options_;
    const WorkerOption *lastMatch_ = nullptr;
    /// By position.
    std::vector<bool> isMember_;
    /// Includes all workers that have available processors.
    std::vector<WorkerOption *> available_;
    std::size_t nextVisited_ = 0;
};

} // namespace caraway::cell
