#include "Decisions/Policy/FairQueue.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace caraway {

namespace {

constexpr std::int64_t wholePercent = 100;
/// Sizes are told apart in steps of a quarter of a power of two.
constexpr int sizeStepBits = 2;
constexpr int bitsPerSize = 9;
constexpr int bitsPerKind = 12;
constexpr int bitsPerTeam = 32;
/// Puts urgent kinds that are below their share before all others.
constexpr double urgentAdvantage = 1e6;

/// A code for amounts of about the same size.
std::uint64_t sizeCode(std::int64_t amount)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0));
    const auto width = static_cast<int>(std::bit_width(value));
    if (width <= sizeStepBits + 1)
        return value;
    const std::uint64_t step = (value >> (width - 1 - sizeStepBits)) & ((1U << sizeStepBits) - 1);
    return (static_cast<std::uint64_t>(width) << sizeStepBits) | step;
}

std::uint64_t sizeCode(const WaitingUnit &unit)
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

/// Whether adding \a needs to \a used stays within \a most in each dimension that is needed.
bool staysWithin(const Resources &used, const Resources &needs, const Resources &most)
{
    const auto fits = [](auto part, auto more, auto whole) {
        return more.count() == 0 || part + more <= whole;
    };
    return fits(used.processors, needs.processors, most.processors)
            && fits(used.memory, needs.memory, most.memory)
            && fits(used.accelerators, needs.accelerators, most.accelerators)
            && fits(used.slots, needs.slots, most.slots);
}

} // namespace

void FairQueue::push(WaitingUnit unit)
{
    const LaneIndex lane = laneFor(unit);
    SlotIndex slot = 0;
    if (freeSlots_.empty()) {
        slot = static_cast<SlotIndex>(slots_.size());
        slots_.emplace_back();
        laneOfSlot_.emplace_back();
    } else {
        slot = freeSlots_.back();
        freeSlots_.pop_back();
    }
    for (const TaskId &task : unit.tasks)
        slotOfTask_[task] = slot;
    lanes_[lane].units.insert({unit.deadline, unit.number, slot});
    laneOfSlot_[slot] = lane;
    slots_[slot] = std::move(unit);
    reposition(lane);
}

std::optional<WorkOwner> FairQueue::remove(const TaskId &task)
{
    const auto found = slotOfTask_.find(task);
    if (found == slotOfTask_.end())
        return std::nullopt;
    const SlotIndex slot = found->second;
    slotOfTask_.erase(found);
    const WorkOwner owner = slots_[slot].owner;
    std::vector<TaskId> &tasks = slots_[slot].tasks;
    // Cancellations of a gang come in the order of its tasks, so that each finds its own first.
    tasks.erase(std::ranges::find(tasks, task));
    if (tasks.empty())
        take(laneOfSlot_[slot], slot);
    return owner;
}

void FairQueue::beginRound()
{
    current_.reset();
    if (sharesChanged_)
        repositionAll();
    sharesChanged_ = false;
}

const WaitingUnit *FairQueue::next()
{
    isExhausted_.assign(kinds_.size(), 0);
    for (;;) {
        std::size_t best = kinds_.size();
        double bestRank = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < kinds_.size(); ++i) {
            if (isExhausted_[i] || kinds_[i].groups.empty())
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
            return &slots_[lanes_[*current_].units.begin()->slot];
        isExhausted_[best] = 1;
    }
}

void FairQueue::setAside()
{
    const Lane &lane = lanes_[*current_];
    putAside(lane.group, slots_[lane.units.begin()->slot].needsPerTask, false);
}

bool FairQueue::isOwed() const
{
    return isBelowShare(kinds_[lanes_[*current_].owner.kind.value()]);
}

WaitingUnit FairQueue::popNext()
{
    const LaneIndex lane = *current_;
    const SlotIndex slot = lanes_[lane].units.begin()->slot;
    WaitingUnit unit = std::move(slots_[slot]);
    for (const TaskId &task : unit.tasks)
        slotOfTask_.erase(task);
    take(lane, slot);
    return unit;
}

void FairQueue::take(LaneIndex lane, SlotIndex slot)
{
    const WaitingUnit &unit = slots_[slot];
    lanes_[lane].units.erase({unit.deadline, unit.number, slot});
    slots_[slot] = {};
    freeSlots_.push_back(slot);
    reposition(lane);
}

void FairQueue::onOccupied(const Occupancy &occupancy)
{
    Kind &kind = kindAt(occupancy.owner.kind);
    kind.used += occupancy.needs;
    if (!kind.share.urgent)
        usedByOrdinary_ += occupancy.needs;
    teamAt(occupancy.owner.team).used += occupancy.needs;
    TeamInKind &team = teamInKind(occupancy.owner);
    team.used += occupancy.needs;
    for (const LaneIndex lane : team.lanes)
        reposition(lane);
}

void FairQueue::onReleased(const Occupancy &occupancy, const Resources &free)
{
    Kind &kind = kindAt(occupancy.owner.kind);
    kind.used -= occupancy.needs;
    if (!kind.share.urgent)
        usedByOrdinary_ -= occupancy.needs;
    Team &team = teamAt(occupancy.owner.team);
    team.used -= occupancy.needs;
    unpark(team);
    TeamInKind &inKind = teamInKind(occupancy.owner);
    inKind.used -= occupancy.needs;
    for (const LaneIndex lane : inKind.lanes)
        reposition(lane);
    std::erase_if(aside_, [&](GroupIndex index) {
        Group &group = groups_[index];
        const bool mayGoOn = group.isAsideForReserve || group.asideNeeds.fitsIn(free);
        group.isAside = !mayGoOn;
        return mayGoOn;
    });
}

void FairQueue::onRoomChanged(const Resources &capacity)
{
    for (const GroupIndex index : aside_)
        groups_[index].isAside = false;
    aside_.clear();
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
            usedByOrdinary_ -= own.used;
        else
            usedByOrdinary_ += own.used;
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
    unpark(own);
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

FairQueue::GroupIndex FairQueue::groupFor(const WaitingUnit &unit)
{
    const auto [place, isNew]
            = groupOfSize_.try_emplace(sizeCode(unit), static_cast<GroupIndex>(groups_.size()));
    if (isNew)
        groups_.push_back({.kind = unit.owner.kind});
    return place->second;
}

FairQueue::LaneIndex FairQueue::laneFor(const WaitingUnit &unit)
{
    const GroupIndex group = groupFor(unit);
    const std::uint64_t code = (std::uint64_t(group) << bitsPerTeam) | unit.owner.team.value();
    const auto [place, isNew] = laneOf_.try_emplace(code, static_cast<LaneIndex>(lanes_.size()));
    if (isNew) {
        lanes_.push_back({.group = group, .owner = unit.owner});
        teamInKind(unit.owner).lanes.push_back(place->second);
        teamAt(unit.owner.team);
    }
    return place->second;
}

bool FairQueue::isBelowShare(const Kind &kind) const
{
    const double fairShare = static_cast<double>(kind.share.weight) / totalWeight_;
    return kind.used.dominantShareOf(capacity_) < fairShare;
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

void FairQueue::reposition(LaneIndex index)
{
    Lane &lane = lanes_[index];
    std::optional<LaneKey> key;
    if (!lane.units.empty() && !lane.isParked)
        key = LaneKey {teamShare(lane.owner), lane.units.begin()->deadline, index};
    if (key == lane.key)
        return;
    Group &group = groups_[lane.group];
    std::vector<GroupIndex> &active = kindAt(lane.owner.kind).groups;
    const bool wasEmpty = group.lanes.empty();
    if (lane.key)
        group.lanes.erase(*lane.key);
    if (key)
        group.lanes.insert(*key);
    lane.key = key;
    if (wasEmpty && !group.lanes.empty())
        active.push_back(lane.group);
    else if (!wasEmpty && group.lanes.empty())
        std::erase(active, lane.group);
}

void FairQueue::repositionAll()
{
    for (LaneIndex lane = 0; lane < lanes_.size(); ++lane)
        reposition(lane);
}

std::optional<FairQueue::LaneIndex> FairQueue::nextInKind(Kind &kind)
{
    std::optional<LaneIndex> best;
    // A lane that is parked may take its group off the list.
    for (std::size_t i = 0; i < kind.groups.size();) {
        const GroupIndex index = kind.groups[i];
        Group &group = groups_[index];
        if (!group.isAside) {
            const std::optional<LaneIndex> lane = firstUsable(group);
            if (lane && (!best || *lanes_[*lane].key < *lanes_[*best].key))
                best = lane;
        }
        if (i < kind.groups.size() && kind.groups[i] == index)
            ++i;
    }
    return best;
}

std::optional<FairQueue::LaneIndex> FairQueue::firstUsable(Group &group)
{
    while (!group.lanes.empty()) {
        const LaneIndex index = group.lanes.begin()->lane;
        const Lane &lane = lanes_[index];
        const WaitingUnit &unit = slots_[lane.units.begin()->slot];
        const bool withinReserve = isWithinReserve(kinds_[lane.owner.kind.value()], unit.needs());
        if (!withinReserve) {
            putAside(lane.group, unit.needsPerTask, true);
            return std::nullopt;
        }
        if (isWithinQuota(unit))
            return index;
        park(index);
    }
    return std::nullopt;
}

bool FairQueue::isWithinQuota(const WaitingUnit &unit)
{
    const Team &team = teamAt(unit.owner.team);
    if (!team.share)
        return true;
    // A team that runs nothing here may start work that its part alone would never allow.
    const Resources &most = team.used == Resources() ? team.share->quota : team.share->quotaHere;
    return staysWithin(team.used, unit.needs(), most);
}

bool FairQueue::isWithinReserve(const Kind &kind, const Resources &needs) const
{
    if (kind.share.urgent || urgentReserve_ == Percent() || usedByOrdinary_ == Resources())
        return true;
    const Resources most = percentOf(capacity_, wholePercent - urgentReserve_.count());
    return staysWithin(usedByOrdinary_, needs, most);
}

void FairQueue::park(LaneIndex index)
{
    Lane &lane = lanes_[index];
    lane.isParked = true;
    teamAt(lane.owner.team).parked.push_back(index);
    reposition(index);
}

void FairQueue::unpark(Team &team)
{
    for (const LaneIndex lane : std::exchange(team.parked, {})) {
        lanes_[lane].isParked = false;
        reposition(lane);
    }
}

void FairQueue::putAside(GroupIndex index, const Resources &needs, bool forReserve)
{
    Group &group = groups_[index];
    group.isAside = true;
    group.isAsideForReserve = forReserve;
    group.asideNeeds = needs;
    aside_.push_back(index);
}

} // namespace caraway
