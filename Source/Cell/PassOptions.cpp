#include "Cell/PassOptions.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// The golden ratio as a fraction of 2^64: its multiples are spread evenly (Fibonacci hashing).
constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15;
constexpr unsigned highBits = 32;

} // namespace

void PassOptions::clear()
{
    ++passes_;
    options_.clear();
    positions_.clear();
    eligible_.clear();
}

WorkerOption &PassOptions::add(const CellWorker &worker)
{
    const std::size_t number = worker.number().value();
    if (positions_.size() <= number)
        positions_.resize(number + 1, none);
    positions_[number] = options_.size();
    WorkerOption &option = options_.emplace_back();
    option.worker = &worker;
    option.position = positions_[number];
    return option;
}

WorkerOption *PassOptions::find(WorkerNumber worker)
{
    if (worker.value() >= positions_.size() || positions_[worker.value()] == none)
        return nullptr;
    return &options_[positions_[worker.value()]];
}

EligibleWorkers &PassOptions::eligible(const UpstreamId &upstream, const Label &required)
{
    const auto [found, isNew] = eligible_.try_emplace(
            std::pair(upstream, required), options_.size(), (passes_ * goldenRatio) >> highBits);
    if (isNew) {
        for (WorkerOption &option : options_) {
            if (isEligible(*option.worker, upstream, required))
                found->second.add(option);
        }
    }
    return found->second;
}

bool PassOptions::isEligible(const CellWorker &worker, const UpstreamId &upstream,
                             const Label &required)
{
    if (worker.entry->upstream != upstream)
        return false;
    const std::vector<Label> &labels = worker.entry->labels;
    return required.isEmpty() || std::find(labels.begin(), labels.end(), required) != labels.end();
}

} // namespace caraway::cell
