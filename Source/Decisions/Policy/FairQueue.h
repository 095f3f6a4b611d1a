#pragma once

#include "Decisions/Policy/WaitingUnit.h"
#include "Decisions/Preset.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Units in the order of weighted dominant-resource shares: the kind that has least of its
/// share goes first, within it the team, within that the earliest promised deadline.
///
/// Units of one kind and of about one size form a group. A group whose first unit finds no room
/// is set aside until room that it could use falls free, so that it holds up no other size, kind
/// or team and costs nothing while it waits. An operation costs the logarithm of what waits.
class FairQueue
{
public:
    void push(WaitingUnit unit);
    std::optional<WorkOwner> remove(const TaskId &task);
    void beginRound();
    const WaitingUnit *next();
    void setAside();
    bool isOwed() const;
    WaitingUnit popNext();
    std::size_t size() const { return slotOfTask_.size(); }

    void onOccupied(const Occupancy &occupancy);
    void onReleased(const Occupancy &occupancy, const Resources &free);
    void onRoomChanged(const Resources &capacity);
    void setKind(KindIndex kind, const KindShare &share);
    void setTeam(TeamIndex team, const TeamShare &share);
    void setUrgentReserve(Percent reserve);

private:
    using SlotIndex = std::uint32_t;
    using GroupIndex = std::uint32_t;
    using LaneIndex = std::uint32_t;

    struct UnitKey
    {
        TimePoint deadline;
        UnitNumber number;
        SlotIndex slot;
        friend auto operator<=>(const UnitKey &, const UnitKey &) = default;
    };
    struct LaneKey
    {
        double teamShare = 0;
        TimePoint deadline;
        LaneIndex lane = 0;
        friend auto operator<=>(const LaneKey &, const LaneKey &) = default;
    };
    /// What waits of one team in one group.
    struct Lane
    {
        GroupIndex group = 0;
        WorkOwner owner;
        std::set<UnitKey> units;
        /// Its key in the group; none while the lane is empty or its team is at its quota.
        std::optional<LaneKey> key;
        bool isParked = false;
    };
    /// What waits of one kind and of about one size.
    struct Group
    {
        std::set<LaneKey> lanes;
        KindIndex kind;
        bool isAside = false;
        bool isAsideForReserve = false;
        Resources asideNeeds;
    };
    /// What a team runs of one kind, and its lanes in that kind.
    struct TeamInKind
    {
        Resources used;
        std::vector<LaneIndex> lanes;
    };
    struct Kind
    {
        KindShare share;
        Resources used;
        std::vector<GroupIndex> groups;
        std::vector<TeamInKind> teams;
    };
    struct Team
    {
        std::optional<TeamShare> share;
        Resources used;
        std::vector<LaneIndex> parked;
    };

    Kind &kindAt(KindIndex kind);
    Team &teamAt(TeamIndex team);
    TeamInKind &teamInKind(const WorkOwner &owner);
    LaneIndex laneFor(const WaitingUnit &unit);
    GroupIndex groupFor(const WaitingUnit &unit);

    double kindRank(const Kind &kind) const;
    bool isBelowShare(const Kind &kind) const;
    double teamShare(const WorkOwner &owner);
    void reposition(LaneIndex lane);
    void repositionAll();
    std::optional<LaneIndex> nextInKind(Kind &kind);
    std::optional<LaneIndex> firstUsable(Group &group);
    bool isWithinQuota(const WaitingUnit &unit);
    bool isWithinReserve(const Kind &kind, const Resources &needs) const;
    void park(LaneIndex lane);
    void unpark(Team &team);
    void putAside(GroupIndex group, const Resources &needs, bool forReserve);
    void take(LaneIndex lane, SlotIndex slot);

    std::vector<Kind> kinds_;
    std::vector<Team> teams_;
    std::vector<Group> groups_;
    std::vector<Lane> lanes_;
    std::unordered_map<std::uint64_t, GroupIndex> groupOfSize_;
    std::unordered_map<std::uint64_t, LaneIndex> laneOf_;
    std::vector<GroupIndex> aside_;

    std::vector<WaitingUnit> slots_;
    std::vector<LaneIndex> laneOfSlot_;
    std::vector<SlotIndex> freeSlots_;
    std::unordered_map<TaskId, SlotIndex> slotOfTask_;

    std::vector<char> isExhausted_;
    std::optional<LaneIndex> current_;
    Resources capacity_;
    Resources usedByOrdinary_;
    Percent urgentReserve_;
    double totalWeight_ = 0;
    bool sharesChanged_ = false;
};

} // namespace caraway
