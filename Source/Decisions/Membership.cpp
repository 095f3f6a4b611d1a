#include "Decisions/Membership.h"

#include "Decisions/StableHash.h"

#include <algorithm>
#include <set>

namespace caraway {

void Membership::update(InstanceList list, TimePoint readAt)
{
    const bool hasGap = readAt - readAt_ > settings_.listAge;
    readAt_ = std::max(readAt_, readAt);
    for (const EntryMember &entry : list.entries)
        lastNamed_[entry.id] = readAt_;
    list_ = std::move(list);
    std::set<ShardId> zones;
    if (!findEntry(settings_.self))
        namedSince_.reset();
    else if (!namedSince_ || hasGap)
        namedSince_ = readAt_;
    for (const WorkerMember &worker : list_.workers)
        zones.insert(ShardId(worker.zone.value()));
    shards_.assign(zones.begin(), zones.end());
}

bool Membership::learnHolder(const ShardRecord &record)
{
    ShardRecord &known = records_[record.shard];
    if (record.revision < known.revision)
        return false;
    const bool changed = known.holder != record.holder || known.epoch != record.epoch;
    known = record;
    return changed;
}

std::vector<WorkerMember> Membership::workersOf(const ShardId &shard) const
{
    std::vector<WorkerMember> members;
    for (const WorkerMember &worker : list_.workers) {
        if (worker.zone.value() == shard.value())
            members.push_back(worker);
    }
    return members;
}

ShardId Membership::homeShard(const JobName &job) const
{
    const auto weight
            = [&](const ShardId &shard) { return rendezvousWeight(job.value(), shard.value()); };
    const auto home = std::ranges::max_element(shards_, {}, weight);
    return home == shards_.end() ? ShardId() : *home;
}

const ShardRecord *Membership::recordOf(const ShardId &shard) const
{
    const auto found = records_.find(shard);
    return found == records_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> Membership::namedSince(TimePoint now) const
{
    return now - readAt_ <= settings_.listAge ? namedSince_ : std::nullopt;
}

bool Membership::isNamedOfLate(const InstanceId &id, TimePoint now) const
{
    const Milliseconds longest = settings_.listLag + settings_.listAge + settings_.promise;
    const auto found = lastNamed_.find(id);
    return found != lastNamed_.end() && now - found->second < longest;
}

const EntryMember *Membership::findEntry(const InstanceId &id) const
{
    const auto found = std::ranges::find(list_.entries, id, &EntryMember::id);
    return found == list_.entries.end() ? nullptr : &*found;
}

std::vector<InstanceId> Membership::candidates(const ShardId &shard) const
{
    std::vector<InstanceId> live;
    for (const EntryMember &entry : list_.entries) {
        if (entry.state == MemberState::Live)
            live.push_back(entry.id);
    }
    const auto weight
            = [&](const InstanceId &id) { return rendezvousWeight(shard.value(), id.value()); };
    std::ranges::sort(live, std::greater<>(), weight);
    if (live.size() > settings_.shardCandidates)
        live.resize(settings_.shardCandidates);
    return live;
}

} // namespace caraway
