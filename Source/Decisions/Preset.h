#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"
#include "Decisions/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

/// What may be done to running tasks of a kind to make room for others.
enum class Preemption { None, Throttle, Checkpoint, Stop };

/// How a preset treats one kind of work.
struct KindPolicy
{
    KindId kind;
    /// Share relative to the other kinds.
    std::uint32_t weight = 1;
    /// Longest wait before work starts that callers are promised.
    Milliseconds promisedWait;
    /// Most tasks that may wait in one shard.
    std::uint32_t queueBound = 0;
    /// Retries allowed for each hundred first attempts.
    std::uint32_t retryBudget = 0;
    Preemption preemption = Preemption::None;
    /// Draws on the reserve for urgent starts.
    bool urgent = false;

    friend bool operator==(const KindPolicy &, const KindPolicy &) = default;
};

/// What a preset grants one team.
struct TeamQuota
{
    TeamId team;
    std::uint32_t weight = 1;
    /// Most that the team may have running in the whole fleet.
    Resources quota;

    friend bool operator==(const TeamQuota &, const TeamQuota &) = default;
};

/// A policy for the whole fleet that an operator can put in force.
struct Preset
{
    PresetName name;
    std::vector<KindPolicy> kinds;
    std::vector<TeamQuota> teams;
    /// The part of each resource that only urgent kinds may use.
    Percent urgentReserve {5};

    const KindPolicy *findKind(const KindId &kind) const;
    const TeamQuota *findTeam(const TeamId &team) const;

    friend bool operator==(const Preset &, const Preset &) = default;
};

/// Who changed what, when and why.
struct ChangeNote
{
    ChangeId id;
    OperatorName who;
    /// Milliseconds since 1970 on the clock of the instance that took the change.
    Milliseconds when;
    PresetName from;
    PresetName to;
    std::string why;

    friend bool operator==(const ChangeNote &, const ChangeNote &) = default;
};

/// A preset that operators can put in force.
struct PresetDefinition
{
    /// The definition's revision in the platform's store.
    Revision revision;
    Preset preset;
    ChangeNote lastChange;
};

/// The one record that says which preset is in force, with its content.
struct PresetInForce
{
    /// The record's revision in the platform's store; it only grows.
    Revision revision;
    Preset preset;
    ChangeNote change;
    /// The changes before that one, newest first; only the latest few are kept.
    std::vector<ChangeNote> history;

    /// Whether the change of that id is the latest one or among those kept.
    bool contains(const ChangeId &id) const;
};

/// The record that puts \a preset in force by \a change after \a current, if there is one.
PresetInForce successorOf(const std::optional<PresetInForce> &current, const Preset &preset,
                          const ChangeNote &change);

} // namespace caraway
