#pragma once

#include "Decisions/Policy/SchedulingUnit.h"
#include "Decisions/Preset.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace caraway {

/// Orders units by arrival. A first unit that does not fit blocks all others.
class FifoQueue
{
public:
    void push(SchedulingUnit unit) { units_.push_back(std::move(unit)); }

    std::optional<WorkOwner> remove(const TaskId &task)
    {
        for (auto unit = units_.begin(); unit != units_.end(); ++unit) {
            if (std::erase(unit->tasks, task) == 0)
                continue;
            const WorkOwner owner = unit->owner;
            if (unit->tasks.empty())
                units_.erase(unit);
            return owner;
        }
        return std::nullopt;
    }

    void beginPass() { isHeadBlocked_ = false; }
    const SchedulingUnit *next() const
    {
        return units_.empty() || isHeadBlocked_ ? nullptr : &units_.front();
    }
    void blockCurrent() { isHeadBlocked_ = true; }
    bool isUnderserved(KindIndex /*kind*/) const { return false; }
    std::size_t unitsWithinShare() const { return 0; }
    SchedulingUnit popNext()
    {
        SchedulingUnit unit = std::move(units_.front());
        units_.pop_front();
        return unit;
    }
    std::size_t size() const { return units_.size(); }

    // Allocations, capacity and shares don't affect the order of arrival.
    void onAllocated(const TaskAllocation & /*allocation*/) { }
    void onReleased(const TaskAllocation & /*allocation*/, const Resources & /*free*/) { }
    void onCapacityFreed(const Resources & /*free*/) { }
    void onCapacityChanged(const Resources & /*capacity*/) { }
    void setKind(KindIndex /*kind*/, const KindShare & /*share*/) { }
    void setTeam(TeamIndex /*team*/, const TeamShare & /*share*/) { }
    void setUrgentReserve(Percent /*reserve*/) { }

private:
    std::deque<SchedulingUnit> units_;
    bool isHeadBlocked_ = false;
};

} // namespace caraway
