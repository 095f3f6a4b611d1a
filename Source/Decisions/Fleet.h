#pragma once

#include "Core/Ids.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace caraway {

/// Where a process listens.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

enum class MemberState { Live, Leaving };

/// An entry instance as the platform's instance list names it.
struct EntryMember
{
    InstanceId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint peers;
    MemberState state = MemberState::Live;
};

/// A worker as the platform's instance list names it.
struct WorkerMember
{
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Endpoint endpoint;
    Resources capacity;
    MemberState state = MemberState::Live;
};

/// One reading of the platform's instance list. It lags behind reality.
struct InstanceList
{
    std::vector<EntryMember> entries;
    std::vector<WorkerMember> workers;
};

/// A shard's record in the platform's store: who may start work on its workers.
struct ShardRecord
{
    ShardId shard;
    InstanceId holder;
    Epoch epoch;
    /// Counts the renewals within one epoch, so that a write whose answer was lost is recognised.
    std::uint64_t renewal = 0;
    /// The holder has handed the shard over; anyone may claim at once.
    bool released = false;
    /// The record's revision in the store.
    Revision revision;
    /// Who may claim the shard from this holder. A claim swaps this very record, so that the
    /// holder knows of every instance that can.
    std::vector<InstanceId> candidates;
};

} // namespace caraway
