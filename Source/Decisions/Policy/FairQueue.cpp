#include "Decisions/Policy/FairQueue.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace caraway {

namespace {

constexpr std::int64_t wholePercent = 100;
/// Size codes distinguish steps of a quarter of a power of two.
constexpr int sizeStepBits = 2;
constexpr int bitsPerSize = 9;
constexpr int bitsPerKind = 12;
constexpr int bitsPerTeam = 32;
/// A kind counts as underserved when it runs less than this fraction of its share. Reservations
/// for smaller deficits would idle more capacity than the kind gains.
constexpr double underservedBelow = 0.85;
/// Subtracted from the rank of urgent kinds below their share, so that they precede all others.
constexpr double urgentAdvantage = 1e6;

/// Maps amounts of similar size to the same code.
std::uint64_t sizeCode(std::int64_t amount)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0));
    const auto width = static_cast<int>(std::bit_width(value));
    if (width <= sizeStepBits + 1)
        return value;
    const std::uint64_t step = (value >> (width - 1 - sizeStepBits)) & ((1U << sizeStepBits) - 1);
    return (static_cast<std::uint64_t>(width) << sizeStepBits) | step;
}

std::uint64_t sizeCode(const SchedulingUnit &unit)
{
    std::uint64_t code = sizeCode(unit.needsPerTask.processors.count());
    code = (code << bitsPerSize) | sizeCode(unit.needsPerTask.memory.count());
    code = (code << bitsPerSize) | sizeCode(unit.needsPerTask.accelerators.count());
    code = (code << bitsPerSize) | sizeCode(unit.needsPerTask.slots.count());
    code = (code << bitsPerSize) | sizeCode(static_cast<std::int64_t>(unit.tasks.size()));
    return (code << bitsPerKind) | unit.owner.kind.value();
}

Resources percentOf(const Resources &whole, std::int64_t percent)
{
    return {whole.processors * percent / wholePercent, whole.memory / wholePercent * percent,
            whole.accelerators * percent / wholePercent, whole.slots * percent / wholePercent};
}

/// Whether adding \a needs to \a used stays within \a limit in each dimension that is needed.
bool staysWithin(const Resources &used, const Resources &needs, const Resources &limit)
{
    const auto fits = [](auto part, auto more, auto whole) {
        return more.count() == 0 || part + more <= whole;
    };
    return fits(used.processors, needs.processors, limit.processors)
            && fits(used.memory, needs.memory, limit.memory)
            && fits(used.accelerators, needs.accelerators, limit.accelerators)
            && fits(used.slots, needs.slots, limit.slots);
}

} // namespace

void FairQueue::push(SchedulingUnit unit)
{
    const SubQueueIndex subQueue = subQueueFor(unit);
    UnitIndex unitIndex = 0;
    if (freePositions_.empty()) {
        unitIndex = static_cast<UnitIndex>(units_.size());
        units_.emplace_back();
        subQueueOfUnit_.emplace_back();
    } else {
        unitIndex = freePositions_.back();
        freePositions_.pop_back();
    }
    for (const TaskId &task : unit.tasks)
        unitOfTask_[task] = unitIndex;
    if (subQueues_[subQueue].units.empty())
        teamInKind(unit.owner).subQueues.push_back(subQueue);
    ++kindAt(unit.owner.kind).queuedUnits;
    subQueues_[subQueue].units.insert({unit.deadline, unit.number, unitIndex});
    subQueueOfUnit_[unitIndex] = subQueue;
    units_[unitIndex] = std::move(unit);
    reposition(subQueue);
}

std::optional<WorkOwner> FairQueue::remove(const TaskId &task)
{
    const auto found = unitOfTask_.find(task);
    if (found == unitOfTask_.end())
        return std::nullopt;
    const UnitIndex unitIndex = found->second;
    unitOfTask_.erase(found);
    const WorkOwner owner = units_[unitIndex].owner;
    std::vector<TaskId> &tasks = units_[unitIndex].tasks;
    // A gang's tasks are cancelled in their order, so that the search ends at the first element.
    tasks.erase(std::ranges::find(tasks, task));
    if (tasks.empty())
        removeUnit(subQueueOfUnit_[unitIndex], unitIndex);
    return owner;
}

void FairQueue::beginPass()
{
    current_.reset();
    if (sharesChanged_)
        repositionAll();
    sharesChanged_ = false;
}

const SchedulingUnit *FairQueue::next()
{
    isExhausted_.assign(kinds_.size(), 0);
    for (;;) {
        std::size_t best = kinds_.size();
        double bestRank = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < kinds_.size(); ++i) {
            if (isExhausted_[i] || kinds_[i].groups.empty() || mustYield(kinds_[i]))
                continue;
            const double rank = kindRank(kinds_[i]);
            if (rank < bestRank) {
                best = i;
                bestRank = rank;
            }
        }
        if (best == kinds_.size())
            return nullptr;
        current_ = nextInKind(kinds_[best]);
        if (current_)
            return &units_[subQueues_[*current_].units.begin()->unitIndex];
        isExhausted_[best] = 1;
    }
}

void FairQueue::blockCurrent()
{
    const SubQueue &subQueue = subQueues_[*current_];
    blockGroup(subQueue.group, units_[subQueue.units.begin()->unitIndex].needsPerTask, false);
}

bool FairQueue::isUnderserved(KindIndex kind) const
{
    if (kind.value() >= kinds_.size())
        return false;
    const Kind &own = kinds_[kind.value()];
    const double fairShare = own.share.weight / totalWeight_;
    return own.used.dominantShareOf(capacity_) < fairShare * underservedBelow;
}

std::size_t FairQueue::unitsWithinShare() const
{
    const SubQueue &subQueue = subQueues_[*current_];
    const Kind &kind = kinds_[subQueue.owner.kind.value()];
    const double missing = kind.share.weight / totalWeight_ - kind.used.dominantShareOf(capacity_);
    const double each
            = units_[subQueue.units.begin()->unitIndex].needs().dominantShareOf(capacity_);
    // Urgent kinds need no reservation, as they have the urgent reserve.
    if (kind.share.urgent || missing <= 0 || each <= 0)
        return 0;
    const double within = std::ceil(missing / each);
    return std::min(kind.queuedUnits, static_cast<std::size_t>(within));
}

SchedulingUnit FairQueue::popNext()
{
    const SubQueueIndex subQueue = *current_;
    const UnitIndex unitIndex = subQueues_[subQueue].units.begin()->unitIndex;
    SchedulingUnit unit = std::move(units_[unitIndex]);
    for (const TaskId &task : unit.tasks)
        unitOfTask_.erase(task);
    removeUnit(subQueue, unitIndex);
    return unit;
}

void FairQueue::removeUnit(SubQueueIndex subQueue, UnitIndex unitIndex)
{
    const SchedulingUnit &unit = units_[unitIndex];
    subQueues_[subQueue].units.erase({unit.deadline, unit.number, unitIndex});
    --kindAt(unit.owner.kind).queuedUnits;
    if (subQueues_[subQueue].units.empty())
        std::erase(teamInKind(unit.owner).subQueues, subQueue);
    units_[unitIndex] = {};
    freePositions_.push_back(unitIndex);
    reposition(subQueue);
}

void FairQueue::onAllocated(const TaskAllocation &allocation)
{
    Kind &kind = kindAt(allocation.owner.kind);
    kind.used += allocation.needs;
    if (!kind.share.urgent)
        usedByNonUrgent_ += allocation.needs;
    teamAt(allocation.owner.team).used += allocation.needs;
    TeamInKind &team = teamInKind(allocation.owner);
    team.used += allocation.needs;
    for (const SubQueueIndex subQueue : team.subQueues)
        reposition(subQueue);
}

void FairQueue::onReleased(const TaskAllocation &allocation, const Resources &free)
{
    Kind &kind = kindAt(allocation.owner.kind);
    kind.used -= allocation.needs;
    if (!kind.share.urgent)
        usedByNonUrgent_ -= allocation.needs;
    Team &team = teamAt(allocation.owner.team);
    team.used -= allocation.needs;
    resumeOverQuota(team);
    TeamInKind &inKind = teamInKind(allocation.owner);
    inKind.used -= allocation.needs;
    for (const SubQueueIndex subQueue : inKind.subQueues)
        reposition(subQueue);
    onCapacityFreed(free);
}

void FairQueue::onCapacityFreed(const Resources &free)
{
    startsOnlyBelowShare_ = false;
    std::erase_if(blockedGroups_, [&](const BlockedGroup &blocked) {
        const bool mayFit = blocked.byUrgentReserve || blocked.needs.fitsIn(free);
        if (mayFit)
            groups_[blocked.group].isBlocked = false;
        return mayFit;
    });
}

void FairQueue::onCapacityChanged(const Resources &capacity)
{
    for (const BlockedGroup &blocked : blockedGroups_)
        groups_[blocked.group].isBlocked = false;
    blockedGroups_.clear();
    startsOnlyBelowShare_ = false;
    if (capacity_ == capacity)
        return;
    capacity_ = capacity;
    sharesChanged_ = true;
}

void FairQueue::setKind(KindIndex kind, const KindShare &share)
{
    Kind &own = kindAt(kind);
    if (own.share.urgent != share.urgent) {
        if (share.urgent)
            usedByNonUrgent_ -= own.used;
        else
            usedByNonUrgent_ += own.used;
    }
    own.share = share;
    totalWeight_ = 0;
    for (const Kind &each : kinds_)
        totalWeight_ += each.share.weight;
    sharesChanged_ = true;
}

void FairQueue::setTeam(TeamIndex team, const TeamShare &share)
{
    Team &own = teamAt(team);
    own.share = share;
    resumeOverQuota(own);
    sharesChanged_ = true;
}

void FairQueue::setUrgentReserve(Percent reserve)
{
    urgentReserve_ = reserve;
}

FairQueue::Kind &FairQueue::kindAt(KindIndex kind)
{
    if (kinds_.size() <= kind.value())
        kinds_.resize(kind.value() + 1);
    return kinds_[kind.value()];
}

FairQueue::Team &FairQueue::teamAt(TeamIndex team)
{
    if (teams_.size() <= team.value())
        teams_.resize(team.value() + 1);
    return teams_[team.value()];
}

FairQueue::TeamInKind &FairQueue::teamInKind(const WorkOwner &owner)
{
    std::vector<TeamInKind> &teams = kindAt(owner.kind).teams;
    if (teams.size() <= owner.team.value())
        teams.resize(owner.team.value() + 1);
    return teams[owner.team.value()];
}

FairQueue::GroupIndex FairQueue::groupFor(const SchedulingUnit &unit)
{
    const auto [place, isNew]
            = groupOfSize_.try_emplace(sizeCode(unit), static_cast<GroupIndex>(groups_.size()));
    if (isNew)
        groups_.push_back({.kind = unit.owner.kind});
    return place->second;
}

FairQueue::SubQueueIndex FairQueue::subQueueFor(const SchedulingUnit &unit)
{
    const GroupIndex group = groupFor(unit);
    const std::uint64_t code = (std::uint64_t(group) << bitsPerTeam) | unit.owner.team.value();
    const auto [place, isNew]
            = subQueueOf_.try_emplace(code, static_cast<SubQueueIndex>(subQueues_.size()));
    if (isNew) {
        subQueues_.push_back({.group = group, .owner = unit.owner});
        teamAt(unit.owner.team);
    }
    return place->second;
}

bool FairQueue::isBelowShare(const Kind &kind) const
{
    const double fairShare = static_cast<double>(kind.share.weight) / totalWeight_;
    return kind.used.dominantShareOf(capacity_) < fairShare;
}

bool FairQueue::mustYield(const Kind &kind) const
{
    return startsOnlyBelowShare_ && !kind.share.urgent && !isBelowShare(kind);
}

double FairQueue::kindRank(const Kind &kind) const
{
    const double rank = kind.used.dominantShareOf(capacity_) / kind.share.weight;
    return kind.share.urgent && isBelowShare(kind) ? rank - urgentAdvantage : rank;
}

double FairQueue::teamShare(const WorkOwner &owner)
{
    const std::optional<TeamShare> &share = teams_[owner.team.value()].share;
    const double used = teamInKind(owner).used.dominantShareOf(capacity_);
    return used / (share ? share->weight : 1);
}

void FairQueue::reposition(SubQueueIndex index)
{
    SubQueue &subQueue = subQueues_[index];
    std::optional<SubQueueKey> key;
    if (!subQueue.units.empty() && !subQueue.isOverQuota)
        key = SubQueueKey {teamShare(subQueue.owner), subQueue.units.begin()->deadline, index};
    if (key == subQueue.key)
        return;
    Group &group = groups_[subQueue.group];
    std::vector<GroupIndex> &active = kindAt(subQueue.owner.kind).groups;
    const bool wasEmpty = group.subQueues.empty();
    if (subQueue.key)
        group.subQueues.erase(*subQueue.key);
    if (key)
        group.subQueues.insert(*key);
    subQueue.key = key;
    if (wasEmpty && !group.subQueues.empty())
        active.push_back(subQueue.group);
    else if (!wasEmpty && group.subQueues.empty())
        std::erase(active, subQueue.group);
}

void FairQueue::repositionAll()
{
    for (SubQueueIndex subQueue = 0; subQueue < subQueues_.size(); ++subQueue)
        reposition(subQueue);
}

std::optional<FairQueue::SubQueueIndex> FairQueue::nextInKind(Kind &kind)
{
    std::optional<SubQueueIndex> best;
    // firstUsable() may remove the group from the list.
    for (std::size_t i = 0; i < kind.groups.size();) {
        const GroupIndex index = kind.groups[i];
        Group &group = groups_[index];
        if (!group.isBlocked) {
            const std::optional<SubQueueIndex> subQueue = firstUsable(group);
            if (subQueue && (!best || *subQueues_[*subQueue].key < *subQueues_[*best].key))
                best = subQueue;
        }
        if (i < kind.groups.size() && kind.groups[i] == index)
            ++i;
    }
    return best;
}

std::optional<FairQueue::SubQueueIndex> FairQueue::firstUsable(Group &group)
{
    while (!group.subQueues.empty()) {
        const SubQueueIndex index = group.subQueues.begin()->subQueue;
        const SubQueue &subQueue = subQueues_[index];
        const SchedulingUnit &unit = units_[subQueue.units.begin()->unitIndex];
        const bool withinReserve
                = isWithinReserve(kinds_[subQueue.owner.kind.value()], unit.needs());
        if (!withinReserve) {
            blockGroup(subQueue.group, unit.needsPerTask, true);
            startsOnlyBelowShare_
                    = startsOnlyBelowShare_ || isBelowShare(kinds_[subQueue.owner.kind.value()]);
            return std::nullopt;
        }
        if (isWithinQuota(unit))
            return index;
        suspendOverQuota(index);
    }
    return std::nullopt;
}

bool FairQueue::isWithinQuota(const SchedulingUnit &unit)
{
    const Team &team = teamAt(unit.owner.team);
    if (!team.share)
        return true;
    // A team without running tasks in this shard may use its whole quota; otherwise a unit that is
    // larger than the shard's part of the quota could never start.
    const Resources &limit = team.used == Resources() ? team.share->quota : team.share->shardQuota;
    return staysWithin(team.used, unit.needs(), limit);
}

bool FairQueue::isWithinReserve(const Kind &kind, const Resources &needs) const
{
    if (kind.share.urgent || urgentReserve_ == Percent() || usedByNonUrgent_ == Resources())
        return true;
    const Resources limit = percentOf(capacity_, wholePercent - urgentReserve_.count());
    return staysWithin(usedByNonUrgent_, needs, limit);
}

void FairQueue::suspendOverQuota(SubQueueIndex index)
{
    SubQueue &subQueue = subQueues_[index];
    subQueue.isOverQuota = true;
    teamAt(subQueue.owner.team).overQuota.push_back(index);
    reposition(index);
}

void FairQueue::resumeOverQuota(Team &team)
{
    for (const SubQueueIndex subQueue : std::exchange(team.overQuota, {})) {
        subQueues_[subQueue].isOverQuota = false;
        reposition(subQueue);
    }
}

void FairQueue::blockGroup(GroupIndex index, const Resources &needs, bool byUrgentReserve)
{
    groups_[index].isBlocked = true;
    blockedGroups_.push_back({index, byUrgentReserve, needs});
}

} // namespace caraway
