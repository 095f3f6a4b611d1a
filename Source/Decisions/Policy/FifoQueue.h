#pragma once

#include "Decisions/Policy/WaitingUnit.h"
#include "Decisions/Preset.h"

#include <algorithm>
#include <deque>
#include <optional>

namespace caraway {

/// Units in the order in which they came. A first unit without room holds up all others.
class FifoQueue
{
public:
    void push(WaitingUnit unit) { units_.push_back(std::move(unit)); }

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

    void beginRound() { firstHasNoRoom_ = false; }
    const WaitingUnit *next() const
    {
        return units_.empty() || firstHasNoRoom_ ? nullptr : &units_.front();
    }
    void setAside() { firstHasNoRoom_ = true; }
    bool isOwed() const { return false; }
    WaitingUnit popNext()
    {
        WaitingUnit unit = std::move(units_.front());
        units_.pop_front();
        return unit;
    }
    std::size_t size() const { return units_.size(); }

    /// Shares do not matter to the order of arrival.
    void onOccupied(const Occupancy & /*occupancy*/) { }
    void onReleased(const Occupancy & /*occupancy*/, const Resources & /*free*/) { }
    void onRoomChanged(const Resources & /*capacity*/) { }
    void setKind(KindIndex /*kind*/, const KindShare & /*share*/) { }
    void setTeam(TeamIndex /*team*/, const TeamShare & /*share*/) { }
    void setUrgentReserve(Percent /*reserve*/) { }

private:
    std::deque<WaitingUnit> units_;
    bool firstHasNoRoom_ = false;
};

} // namespace caraway
