#pragma once

#include "Core/Ids.h"
#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Preset.h"

#include <variant>
#include <vector>

/// What entry instances say to one another.
namespace caraway {

struct HolderSubmit
{
    JobSpec spec;
    Milliseconds wait;
    /// The caller says that it never submitted the name before, and no holder was sent it.
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
    /// The instance does not hold the shard; the entry asks elsewhere.
    bool notHolder = false;
    JobReport report;
};
/// Says that the sender lives, what it holds and which preset it follows.
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

/// A shard's record as its holder has just written it: the shard was claimed or handed over.
struct ShardRecordNotice
{
    ShardRecord record;
};

/// A holder that cannot renew its lease asks a candidate not to claim the shard for a while.
struct PromiseRequest
{
    ShardId shard;
    Epoch epoch;
    std::uint64_t round = 0;
};
struct PromiseReply
{
    ShardId shard;
    /// The newest epoch that the promiser knows of.
    Epoch epoch;
    std::uint64_t round = 0;
    bool granted = false;
};

using PeerMessage = std::variant<HolderRequest, HolderReply, PeerHeartbeat, PeerPreset,
                                 ShardRecordNotice, PromiseRequest, PromiseReply>;

} // namespace caraway
