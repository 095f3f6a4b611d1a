#pragma once

#include "Cell/EligibleWorkers.h"

#include <map>

namespace caraway::cell {

/// The usable workers of one scheduling pass, found by number and by what a step requires.
class PassOptions
{
public:
    void clear();
    /// Adds a worker; references to those added before become invalid.
    WorkerOption &add(const CellWorker &worker);

    std::vector<WorkerOption> &all() { return options_; }
    const std::vector<WorkerOption> &all() const { return options_; }
    std::size_t size() const { return options_.size(); }
    /// Null when no usable worker has the number.
    WorkerOption *find(WorkerNumber worker);
    /// The workers of \a upstream that have the \a required label; all of them without a label. To
    /// be called when all workers have been added.
    EligibleWorkers &eligible(const UpstreamId &upstream, const Label &required);

    /// Whether the worker belongs to \a upstream and has the \a required label, if there is one.
    static bool isEligible(const CellWorker &worker, const UpstreamId &upstream,
                           const Label &required);

private:
    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    std::vector<WorkerOption> options_;
    /// By worker number.
    std::vector<std::size_t> positions_;
    std::map<std::pair<UpstreamId, Label>, EligibleWorkers> eligible_;
    std::uint64_t passes_ = 0;
};

} // namespace caraway::cell
