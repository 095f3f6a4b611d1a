#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"
#include "Decisions/Settings.h"

#include <map>
#include <optional>
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

    /// Takes in a reading of the instance list that was sent at \a readAt.
    void update(InstanceList list, TimePoint readAt = {});
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
    /// Since when readings without a gap have named this instance; nothing when the newest is
    /// too old or does not name it.
    std::optional<TimePoint> namedSince(TimePoint now) const;
    /// Whether a reading of late named \a id. An instance that the list has dropped counts for
    /// as long as it may take that instance to learn of it.
    bool isNamedOfLate(const InstanceId &id, TimePoint now) const;
    const EntryMember *findEntry(const InstanceId &id) const;
    /// The live entries that may hold \a shard, the preferred one first.
    std::vector<InstanceId> candidates(const ShardId &shard) const;

private:
    const DecisionSettings &settings_;
    InstanceList list_;
    std::vector<ShardId> shards_;
    TimePoint readAt_;
    std::optional<TimePoint> namedSince_;
    std::map<InstanceId, TimePoint> lastNamed_;
    std::map<ShardId, ShardRecord> records_;
};

} // namespace caraway
