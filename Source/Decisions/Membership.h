#pragma once

#include "Core/Clock.h"
#include "Decisions/Fleet.h"
#include "Decisions/Settings.h"

#include <map>
#include <optional>
#include <vector>

namespace caraway {

/// This instance's view of the fleet: the instance list, the shards and their holders.
class Membership
{
public:
    explicit Membership(const DecisionSettings &settings)
        : settings_(settings)
    {
    }

    /// Replaces the instance list by one that was requested at \a readAt.
    void update(InstanceList list, TimePoint readAt = {});
    /// Records a shard's record unless a newer one is known; returns whether the holder or the
    /// epoch changed.
    bool updateShardRecord(const ShardRecord &record);

    bool hasList() const { return !list_.entries.empty() || !list_.workers.empty(); }
    const InstanceList &list() const { return list_; }
    const std::vector<ShardId> &shards() const { return shards_; }
    std::vector<WorkerMember> workersOf(const ShardId &shard) const;
    /// The shard whose holder schedules the job with that name.
    ShardId homeShard(const JobName &job) const;
    /// The latest known record of the shard; null if there is none.
    const ShardRecord *findRecord(const ShardId &shard) const;
    /// Since when every list, read without a gap, has contained this instance; nothing if the
    /// latest list is too old or does not contain it.
    std::optional<TimePoint> listedSince(TimePoint now) const;
    /// Whether \a id was listed recently. An instance that the list has dropped counts as listed
    /// for as long as it may take that instance to notice.
    bool wasRecentlyListed(const InstanceId &id, TimePoint now) const;
    const EntryMember *findEntry(const InstanceId &id) const;
    /// The live entry instances that may hold \a shard, in order of preference.
    std::vector<InstanceId> candidates(const ShardId &shard) const;

private:
    const DecisionSettings &settings_;
    InstanceList list_;
    std::vector<ShardId> shards_;
    TimePoint readAt_;
    std::optional<TimePoint> listedSince_;
    std::map<InstanceId, TimePoint> lastListedAt_;
    std::map<ShardId, ShardRecord> records_;
};

} // namespace caraway
