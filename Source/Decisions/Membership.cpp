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
        lastListedAt_[entry.id] = readAt_;
    list_ = std::move(list);
    std::set<ShardId> zones;
    if (!findEntry(settings_.self))
        listedSince_.reset();
    else if (!listedSince_ || hasGap)
        listedSince_ = readAt_;
    for (const WorkerMember &worker : list_.workers)
        zones.insert(ShardId(worker.zone.value()));
    shards_.assign(zones.begin(), zones.end());
}

bool Membership::updateShardRecord(const ShardRecord &record)
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

const ShardRecord *Membership::findRecord(const ShardId &shard) const
{
    const auto found = records_.find(shard);
    return found == records_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> Membership::listedSince(TimePoint now) const
{
    return now - readAt_ <= settings_.listAge ? listedSince_ : std::nullopt;
}

bool Membership::wasRecentlyListed(const InstanceId &id, TimePoint now) const
{
    const Milliseconds noticeDelay = settings_.listLag + settings_.listAge + settings_.promise;
    const auto found = lastListedAt_.find(id);
    return found != lastListedAt_.end() && now - found->second < noticeDelay;
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
