#include "Messages/PresetCodec.h"

#include "Messages/JobCodec.h"

#include <algorithm>
#include <set>

namespace caraway {

namespace {

constexpr std::int64_t maxWeight = 1'000'000;
constexpr std::int64_t maxQueueBound = 10'000'000;
constexpr std::int64_t maxRetryBudgetPercent = 1000;
constexpr std::int64_t maxUrgentReservePercent = 50;

const std::vector<std::string_view> &preemptionNames()
{
    static const std::vector<std::string_view> names = {"none", "throttle", "checkpoint", "stop"};
    return names;
}

nlohmann::json encodeKind(const KindPolicy &kind)
{
    return {{"kind", kind.kind.value()},
            {"weight", kind.weight},
            {"promised_wait_ms", kind.promisedWait.count()},
            {"queue_bound", kind.queueBound},
            {"retry_budget_percent", kind.retryBudget},
            {"preemption", preemptionNames()[static_cast<std::size_t>(kind.preemption)]},
            {"urgent", kind.urgent}};
}

Result<KindPolicy> decodeKind(const nlohmann::json &json)
{
    ObjectReader reader(json, "kind");
    KindPolicy kind;
    kind.kind = reader.id<KindId>("kind");
    kind.weight = static_cast<std::uint32_t>(reader.numberOr("weight", 1, 1, maxWeight));
    kind.promisedWait = Milliseconds(reader.number("promised_wait_ms", 1));
    kind.queueBound = static_cast<std::uint32_t>(reader.number("queue_bound", 1, maxQueueBound));
    kind.retryBudget = static_cast<std::uint32_t>(
            reader.numberOr("retry_budget_percent", 10, 0, maxRetryBudgetPercent));
    kind.preemption = static_cast<Preemption>(reader.choice("preemption", preemptionNames(), 0));
    kind.urgent = reader.flagOr("urgent", false);
    BOOST_LEAF_CHECK(reader.finish());
    return kind;
}

nlohmann::json encodeTeam(const TeamQuota &team)
{
    return {{"team", team.team.value()},
            {"weight", team.weight},
            {"quota", encodeResources(team.quota)}};
}

Result<TeamQuota> decodeTeam(const nlohmann::json &json)
{
    ObjectReader reader(json, "team");
    TeamQuota team;
    team.team = reader.id<TeamId>("team");
    team.weight = static_cast<std::uint32_t>(reader.numberOr("weight", 1, 1, maxWeight));
    const nlohmann::json &quota = reader.object("quota");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(team.quota, decodeResources(quota, "team's quota"));
    return team;
}

template<class Element, class Id>
bool hasDuplicateIds(const std::vector<Element> &elements, Id Element::*id)
{
    std::set<Id> seen;
    return !std::ranges::all_of(
            elements, [&](const Element &element) { return seen.insert(element.*id).second; });
}

} // namespace

nlohmann::json encodePreset(const Preset &preset)
{
    nlohmann::json json = {{"name", preset.name.value()},
                           {"kinds", nlohmann::json::array()},
                           {"teams", nlohmann::json::array()},
                           {"urgent_reserve_percent", preset.urgentReserve.count()}};
    for (const KindPolicy &kind : preset.kinds)
        json["kinds"].push_back(encodeKind(kind));
    for (const TeamQuota &team : preset.teams)
        json["teams"].push_back(encodeTeam(team));
    return json;
}

Result<Preset> decodePreset(const nlohmann::json &json)
{
    ObjectReader reader(json, "preset");
    Preset preset;
    preset.name = reader.id<PresetName>("name");
    preset.urgentReserve = Percent(reader.numberOr(
            "urgent_reserve_percent", preset.urgentReserve.count(), 0, maxUrgentReservePercent));
    for (const nlohmann::json &element : reader.array("kinds")) {
        BOOST_LEAF_AUTO(kind, decodeKind(element));
        preset.kinds.push_back(std::move(kind));
    }
    for (const nlohmann::json &element : reader.array("teams")) {
        BOOST_LEAF_AUTO(team, decodeTeam(element));
        preset.teams.push_back(std::move(team));
    }
    if (preset.kinds.empty())
        reader.addError("kinds", "is empty", "Add at least one kind");
    if (hasDuplicateIds(preset.kinds, &KindPolicy::kind))
        reader.addError("kinds", "contains a kind twice", "Remove the duplicate");
    if (hasDuplicateIds(preset.teams, &TeamQuota::team))
        reader.addError("teams", "contains a team twice", "Remove the duplicate");
    BOOST_LEAF_CHECK(reader.finish());
    return preset;
}

nlohmann::json encodeAuditRecord(const AuditRecord &record)
{
    return {{"id", record.id.value()},        {"who", record.who.value()},
            {"when_ms", record.when.count()}, {"from", record.from.value()},
            {"to", record.to.value()},        {"why", record.why}};
}

Result<AuditRecord> decodeAuditRecord(const nlohmann::json &json)
{
    ObjectReader reader(json, "change");
    AuditRecord record;
    record.id = reader.id<ChangeId>("id");
    record.who = OperatorName(reader.textOr("who", ""));
    record.when = Milliseconds(reader.numberOr("when_ms", 0));
    record.from = PresetName(reader.textOr("from", ""));
    record.to = PresetName(reader.textOr("to", ""));
    record.why = reader.textOr("why", "");
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

nlohmann::json encodePresetInForce(const PresetInForce &inForce)
{
    nlohmann::json history = nlohmann::json::array();
    for (const AuditRecord &change : inForce.history)
        history.push_back(encodeAuditRecord(change));
    return {{"preset", encodePreset(inForce.preset)},
            {"change", encodeAuditRecord(inForce.change)},
            {"history", std::move(history)}};
}

Result<PresetInForce> decodePresetInForce(const nlohmann::json &json, Revision revision)
{
    ObjectReader reader(json, "preset in force");
    const nlohmann::json &preset = reader.object("preset");
    const nlohmann::json &change = reader.object("change");
    const nlohmann::json &history = reader.array("history");
    BOOST_LEAF_CHECK(reader.finish());
    PresetInForce inForce;
    inForce.revision = revision;
    BOOST_LEAF_ASSIGN(inForce.preset, decodePreset(preset));
    BOOST_LEAF_ASSIGN(inForce.change, decodeAuditRecord(change));
    for (const nlohmann::json &element : history) {
        BOOST_LEAF_AUTO(pastChange, decodeAuditRecord(element));
        inForce.history.push_back(std::move(pastChange));
    }
    return inForce;
}

nlohmann::json encodePresetDefinition(const PresetDefinition &definition)
{
    return {{"preset", encodePreset(definition.preset)},
            {"change", encodeAuditRecord(definition.lastChange)}};
}

Result<PresetDefinition> decodePresetDefinition(const nlohmann::json &json, Revision revision)
{
    ObjectReader reader(json, "preset definition");
    const nlohmann::json &preset = reader.object("preset");
    const nlohmann::json &change = reader.object("change");
    BOOST_LEAF_CHECK(reader.finish());
    PresetDefinition definition;
    definition.revision = revision;
    BOOST_LEAF_ASSIGN(definition.preset, decodePreset(preset));
    BOOST_LEAF_ASSIGN(definition.lastChange, decodeAuditRecord(change));
    return definition;
}

} // namespace caraway
