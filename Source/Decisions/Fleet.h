#pragma once

#include "Core/Ids.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

/// The address at which a process listens.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

enum class MemberState { Live, Leaving };

/// An entry instance in the platform's instance list.
struct EntryMember
{
    InstanceId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint peers;
    MemberState state = MemberState::Live;
};

/// A worker in the platform's instance list.
struct WorkerMember
{
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Endpoint endpoint;
    Resources capacity;
    MemberState state = MemberState::Live;
};

/// One read of the platform's instance list, which may be out of date by up to
/// DecisionSettings::listLag.
struct InstanceList
{
    std::vector<EntryMember> entries;
    std::vector<WorkerMember> workers;
};

/// A shard's record in the platform's store. It names the holder, the only instance that may start
/// tasks on the shard's workers.
struct ShardRecord
{
    ShardId shard;
    InstanceId holder;
    Epoch epoch;
    /// The number of the write within one epoch, to recognise a write whose answer was lost.
    std::uint64_t renewal = 0;
    /// The holder has released the shard; candidates may claim it without waiting for expiry.
    bool released = false;
    /// The record's revision in the store.
    Revision revision;
    /// The instances that may claim the shard from this holder. A claim is a compare-and-set on
    /// this record, so the holder has written the names of all instances that can claim.
    std::vector<InstanceId> candidates;
};

} // namespace caraway
