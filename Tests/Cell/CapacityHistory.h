#pragma once

#include "Core/Clock.h"
#include "Decisions/Resources.h"

#include <algorithm>
#include <vector>

namespace caraway::tests {

/// The capacities that one incarnation of a worker has had.
class CapacityHistory
{
public:
    void change(TimePoint at, const Resources &capacity) { changes_.push_back({at, capacity}); }

    /// Whether \a capacity is the present one.
    bool isPresent(const Resources &capacity) const
    {
        return !changes_.empty() && changes_.back().capacity == capacity;
    }
    /// The most that the worker had in each dimension at any time since \a since.
    Resources mostSince(TimePoint since) const
    {
        Resources most;
        for (std::size_t i = 0; i < changes_.size(); ++i) {
            const bool wasReplacedBefore = i + 1 < changes_.size() && changes_[i + 1].at < since;
            if (wasReplacedBefore)
                continue;
            const Resources &capacity = changes_[i].capacity;
            most.processors = std::max(most.processors, capacity.processors);
            most.memory = std::max(most.memory, capacity.memory);
            most.accelerators = std::max(most.accelerators, capacity.accelerators);
        }
        return most;
    }

private:
    struct Change
    {
        TimePoint at;
        Resources capacity;
    };
    std::vector<Change> changes_;
};

} // namespace caraway::tests
