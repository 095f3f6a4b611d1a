#pragma once

#include "Core/Ids.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Preset.h"

#include <variant>
#include <vector>

/// The messages between entry instances.
namespace caraway {

struct HolderSubmit
{
    JobSpec spec;
    Milliseconds wait;
    /// The caller states that it never submitted the name before, and no other holder was sent
    /// the request.
    bool isFirst = false;
};
struct HolderQuery
{
    JobName name;
    Milliseconds wait;
};
struct HolderCancel
{
    JobName name;
};
/// A caller's request, forwarded to the instance that holds the job's shard.
struct HolderRequest
{
    ShardId shard;
    RequestId id;
    std::variant<HolderSubmit, HolderQuery, HolderCancel> body;
};
/// The holder's answer to a forwarded request.
struct HolderReply
{
    RequestId id;
    /// The instance does not hold the shard; the sender tries another instance.
    bool notHolder = false;
    JobReport report;
};
/// Shows that the sender is alive, which shards it holds and which preset it follows.
struct PeerHeartbeat
{
    std::vector<std::pair<ShardId, Epoch>> held;
    Revision presetRevision;
};
/// The preset in force, sent to a peer whose heartbeat shows an older revision.
struct PeerPreset
{
    PresetInForce inForce;
};

/// A shard's record as just written by its holder, after a claim or a release.
struct ShardRecordNotice
{
    ShardRecord record;
};

/// Sent by a holder that cannot renew its lease: requests that a candidate not claim the shard
/// for the duration of a promise.
struct PromiseRequest
{
    ShardId shard;
    Epoch epoch;
    std::uint64_t round = 0;
};
struct PromiseReply
{
    ShardId shard;
    /// The newest epoch known to the promising candidate.
    Epoch epoch;
    std::uint64_t round = 0;
    bool granted = false;
};

using PeerMessage = std::variant<HolderRequest, HolderReply, PeerHeartbeat, PeerPreset,
                                 ShardRecordNotice, PromiseRequest, PromiseReply>;

} // namespace caraway
