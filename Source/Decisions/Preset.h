#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// What may be done to running tasks of a kind to free capacity for other work.
enum class Preemption { None, Throttle, Checkpoint, Stop };

/// How a preset treats one kind of work.
struct KindPolicy
{
    KindId kind;
    /// The kind's share relative to the weights of the other kinds.
    std::uint32_t weight = 1;
    /// The longest wait before work starts; work expected to wait longer is refused.
    Milliseconds promisedWait;
    /// Maximum number of queued tasks in one shard.
    std::uint32_t queueBound = 0;
    /// Retries allowed for each hundred first attempts.
    std::uint32_t retryBudget = 0;
    Preemption preemption = Preemption::None;
    /// May use the capacity that is reserved for urgent work.
    bool urgent = false;

    friend bool operator==(const KindPolicy &, const KindPolicy &) = default;
};

/// The weight and quota of one team.
struct TeamQuota
{
    TeamId team;
    std::uint32_t weight = 1;
    /// Upper bound for the team's running tasks in the whole fleet.
    Resources quota;

    friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// A scheduling policy for the whole fleet, which an operator can put in force.
struct Preset
{
    PresetName name;
    std::vector<KindPolicy> kinds;
    std::vector<TeamQuota> teams;
    /// The part of each resource that is reserved for urgent kinds.
    Percent urgentReserve {5};

    const KindPolicy *findKind(const KindId &kind) const;
    const TeamQuota *findTeam(const TeamId &team) const;

    friend bool operator==(const Preset &, const Preset &) = default;
};

/// Who changed what, when and why.
struct AuditRecord
{
    ChangeId id;
    OperatorName who;
    /// Milliseconds since 1970 by the clock of the instance that received the change.
    Milliseconds when;
    PresetName from;
    PresetName to;
    std::string why;

    friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
};

/// A stored preset that operators can put in force.
struct PresetDefinition
{
    /// The definition's revision in the platform's store.
    Revision revision;
    Preset preset;
    AuditRecord lastChange;
};

/// The single record of the preset in force, with its content.
struct PresetInForce
{
    /// The record's revision in the platform's store; it only increases.
    Revision revision;
    Preset preset;
    AuditRecord change;
    /// Earlier changes, newest first; bounded in number.
    std::vector<AuditRecord> history;

    /// Whether the change with that id is the latest one or in the history.
    bool contains(const ChangeId &id) const;
};

/// Returns the record that puts \a preset in force by \a change, as the successor of
/// \a current if there is one.
PresetInForce successorOf(const std::optional<PresetInForce> &current, const Preset &preset,
                          const AuditRecord &change);

} // namespace caraway
