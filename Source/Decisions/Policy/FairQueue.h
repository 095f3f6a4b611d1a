#pragma once

#include "Decisions/Policy/SchedulingUnit.h"
#include "Decisions/Preset.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace caraway {

/// Orders units by weighted dominant-resource fairness: the kind with the smallest dominant share
/// relative to its weight is first, within it the team likewise, and within the team the unit with
/// the earliest promised deadline.
///
/// Units of one kind and of similar size form a group. A group whose first unit does not fit is
/// blocked until capacity that the unit could use becomes free. A blocked group doesn't delay other
/// sizes, kinds or teams, and searches spend no time on it. An operation takes time logarithmic in
/// the number of queued units.
class FairQueue
{
public:
    void push(SchedulingUnit unit);
    std::optional<WorkOwner> remove(const TaskId &task);
    void beginPass();
    const SchedulingUnit *next();
    void blockCurrent();
    bool isUnderserved(KindIndex kind) const;
    std::size_t unitsWithinShare() const;
    SchedulingUnit popNext();
    std::size_t size() const { return unitOfTask_.size(); }

    void onAllocated(const TaskAllocation &allocation);
    void onReleased(const TaskAllocation &allocation, const Resources &free);
    void onCapacityFreed(const Resources &free);
    void onCapacityChanged(const Resources &capacity);
    void setKind(KindIndex kind, const KindShare &share);
    void setTeam(TeamIndex team, const TeamShare &share);
    void setUrgentReserve(Percent reserve);

private:
    using UnitIndex = std::uint32_t;
    using GroupIndex = std::uint32_t;
    using SubQueueIndex = std::uint32_t;

    struct UnitKey
    {
        TimePoint deadline;
        UnitNumber number;
        UnitIndex unitIndex;
        friend auto operator<=>(const UnitKey &, const UnitKey &) = default;
    };
    struct SubQueueKey
    {
        double teamShare = 0;
        TimePoint deadline;
        SubQueueIndex subQueue = 0;
        friend auto operator<=>(const SubQueueKey &, const SubQueueKey &) = default;
    };
    /// The queued units of one team in one group.
    struct SubQueue
    {
        GroupIndex group = 0;
        WorkOwner owner;
        std::set<UnitKey> units;
        /// Its key in the group; nullopt while it is empty or isOverQuota is set.
        std::optional<SubQueueKey> key;
        /// Whether the first unit would exceed the team's quota.
        bool isOverQuota = false;
    };
    /// The queued units of one kind and of similar size.
    struct Group
    {
        std::set<SubQueueKey> subQueues;
        KindIndex kind;
        bool isBlocked = false;
    };
    /// The resources that one team's running tasks of one kind use, and the team's sub-queues in
    /// that kind.
    struct TeamInKind
    {
        Resources used;
        /// The sub-queues that are not empty.
        std::vector<SubQueueIndex> subQueues;
    };
    /// A group that is blocked until capacity becomes free, and the needs of its first unit.
    struct BlockedGroup
    {
        GroupIndex group = 0;
        /// Whether the urgent reserve blocks the group, and not a lack of free capacity.
        bool byUrgentReserve = false;
        Resources needs;
    };
    struct Kind
    {
        KindShare share;
        Resources used;
        std::vector<GroupIndex> groups;
        std::vector<TeamInKind> teams;
        std::size_t queuedUnits = 0;
    };
    struct Team
    {
        std::optional<TeamShare> share;
        Resources used;
        /// The sub-queues with isOverQuota set.
        std::vector<SubQueueIndex> overQuota;
    };

    Kind &kindAt(KindIndex kind);
    Team &teamAt(TeamIndex team);
    TeamInKind &teamInKind(const WorkOwner &owner);
    SubQueueIndex subQueueFor(const SchedulingUnit &unit);
    GroupIndex groupFor(const SchedulingUnit &unit);

    double kindRank(const Kind &kind) const;
    bool isBelowShare(const Kind &kind) const;
    bool mustYield(const Kind &kind) const;
    double teamShare(const WorkOwner &owner);
    void reposition(SubQueueIndex subQueue);
    void repositionAll();
    std::optional<SubQueueIndex> nextInKind(Kind &kind);
    std::optional<SubQueueIndex> firstUsable(Group &group);
    bool isWithinQuota(const SchedulingUnit &unit);
    bool isWithinReserve(const Kind &kind, const Resources &needs) const;
    void suspendOverQuota(SubQueueIndex subQueue);
    void resumeOverQuota(Team &team);
    void blockGroup(GroupIndex group, const Resources &needs, bool byUrgentReserve);
    void removeUnit(SubQueueIndex subQueue, UnitIndex unitIndex);

    std::vector<Kind> kinds_;
    std::vector<Team> teams_;
    std::vector<Group> groups_;
    std::vector<SubQueue> subQueues_;
    std::unordered_map<std::uint64_t, GroupIndex> groupOfSize_;
    std::unordered_map<std::uint64_t, SubQueueIndex> subQueueOf_;
    std::vector<BlockedGroup> blockedGroups_;

    std::vector<SchedulingUnit> units_;
    std::vector<SubQueueIndex> subQueueOfUnit_;
    /// Unused positions in units_.
    std::vector<UnitIndex> freePositions_;
    std::unordered_map<TaskId, UnitIndex> unitOfTask_;

    /// For each kind, whether the search in next() found no unit of it to try.
    std::vector<char> isExhausted_;
    /// The sub-queue whose first unit next() returned.
    std::optional<SubQueueIndex> current_;
    Resources capacity_;
    Resources usedByNonUrgent_;
    Percent urgentReserve_;
    double totalWeight_ = 0;
    bool sharesChanged_ = false;
    /// Set while the urgent reserve blocks a kind that is below its share. Non-urgent kinds at or
    /// above their share then start nothing, so that capacity becomes free for it.
    bool startsOnlyBelowShare_ = false;
};

} // namespace caraway
