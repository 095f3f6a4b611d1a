#pragma once

#include "Decisions/Fleet.h"
#include "Decisions/Settings.h"

#include <map>
#include <vector>

namespace caraway {

/// What this instance knows of the fleet: the instance list, the shards and their holders.
class Membership
{
public:
    explicit Membership(const DecisionSettings &settings)
        : settings_(settings)
    {
    }

    void update(InstanceList list);
    /// Takes in a shard's record unless a newer one is known; true when it changed the holder.
    bool learnHolder(const ShardRecord &record);

    bool hasList() const { return !list_.entries.empty() || !list_.workers.empty(); }
    const InstanceList &list() const { return list_; }
    const std::vector<ShardId> &shards() const { return shards_; }
    std::vector<WorkerMember> workersOf(const ShardId &shard) const;
    /// The shard whose holder owns the job of that name.
    ShardId homeShard(const JobName &job) const;
    /// The record of the shard as last seen; nothing before the first.
    const ShardRecord *recordOf(const ShardId &shard) const;
    const EntryMember *findEntry(const InstanceId &id) const;
    /// The live entries that may hold \a shard, the preferred one first.
    std::vector<InstanceId> candidates(const ShardId &shard) const;

private:
    const DecisionSettings &settings_;
    InstanceList list_;
    std::vector<ShardId> shards_;
    std::map<ShardId, ShardRecord> records_;
};

} // namespace caraway
