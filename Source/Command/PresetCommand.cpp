#include "Command/PresetCommand.h"

#include "Command/PresetReader.h"
#include "Core/Clock.h"
#include "Core/StopSignal.h"
#include "Messages/PresetCodec.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <random>

namespace caraway {

namespace {

constexpr Milliseconds followerPollInterval(100);

bool allFollow(const nlohmann::json &followers, std::uint64_t revision)
{
    return std::ranges::all_of(followers, [=](const nlohmann::json &follower) {
        return follower["revision"].get<std::uint64_t>() >= revision;
    });
}

std::string describeFollowers(const nlohmann::json &followers, std::uint64_t revision)
{
    std::string text;
    for (const nlohmann::json &follower : followers) {
        const auto followed = follower["revision"].get<std::uint64_t>();
        text += fmt::format("  {:<24} revision {} {} (last contact {} ms ago)\n",
                            follower["instance"].get<std::string>(), followed,
                            followed >= revision ? "follows" : "DOES NOT FOLLOW YET",
                            follower["age_ms"].get<std::int64_t>());
    }
    return text;
}

std::string describeInForce(const nlohmann::json &inForce)
{
    return fmt::format("preset {} in force at revision {}\n",
                       inForce["preset"]["name"].get<std::string>(),
                       inForce["revision"].get<std::uint64_t>());
}

Result<std::uint64_t> parseCount(const std::string &text, std::string_view option)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return fail(ErrorKind::InvalidRequest,
                    fmt::format("{} is not a whole number. Give a whole number.", option));
    }
    return value;
}

} // namespace

PresetCommand::PresetCommand(const Arguments &arguments, EntryClient client)
    : arguments_(arguments)
    , client_(std::move(client))
{
}

Result<int> PresetCommand::run()
{
    if (arguments_.at("list").asBool())
        return list();
    if (arguments_.at("show").asBool())
        return show();
    if (arguments_.at("use").asBool())
        return use();
    return createOrEdit(arguments_.at("create").asBool());
}

int PresetCommand::print(const nlohmann::json &answer, const std::string &text) const
{
    if (arguments_.at("--json").asBool())
        fmt::print("{}\n", answer.dump(2));
    else
        fmt::print("{}", text);
    return ExitSuccess;
}

Result<int> PresetCommand::list()
{
    BOOST_LEAF_AUTO(definitions, client_.get("/v1/presets"));
    std::string text
            = fmt::format("{:<24} {:>10} {:<16} {}\n", "PRESET", "REVISION", "CHANGED BY", "WHY");
    for (const nlohmann::json &definition : definitions) {
        text += fmt::format("{:<24} {:>10} {:<16} {}\n",
                            definition["preset"]["name"].get<std::string>(),
                            definition["revision"].get<std::uint64_t>(),
                            definition["change"]["who"].get<std::string>(),
                            definition["change"]["why"].get<std::string>());
    }
    return print(definitions, text);
}

Result<int> PresetCommand::show()
{
    const std::string name = argumentValue(arguments_, "<name>");
    if (name.empty()) {
        BOOST_LEAF_AUTO(inForce, client_.get("/v1/preset-in-force"));
        return print(inForce, describeInForce(inForce));
    }
    BOOST_LEAF_AUTO(definition, findDefinition(name));
    return print(definition, definition["preset"].dump(2) + "\n");
}

Result<nlohmann::json> PresetCommand::findDefinition(const std::string &name)
{
    BOOST_LEAF_AUTO(definitions, client_.get("/v1/presets"));
    const auto found = std::ranges::find_if(definitions, [&](const nlohmann::json &definition) {
        return definition["preset"]["name"] == name;
    });
    if (found != definitions.end())
        return *found;
    return fail(
            ErrorKind::UnknownPreset,
            fmt::format("There is no preset {}. `preset list` lists the presets, `preset create` "
                        "adds one.",
                        name));
}

Result<int> PresetCommand::createOrEdit(bool isNew)
{
    BOOST_LEAF_AUTO(preset, readPresetFile(argumentValue(arguments_, "<preset>")));
    const std::string &name = preset.name.value();
    std::uint64_t revision = 0;
    if (!isNew) {
        BOOST_LEAF_AUTO(current, findDefinition(name));
        revision = current["revision"];
    }
    const nlohmann::json body = {{"preset", encodePreset(preset)},
                                 {"change", encodeAuditRecord(makeAuditRecord())},
                                 {"expected_revision", revision}};
    BOOST_LEAF_AUTO(written, client_.put("/v1/presets/" + name, body));
    return print(written,
                 fmt::format("preset {} defined at revision {}; `preset use {}` puts it in force\n",
                             name, written[0]["revision"].get<std::uint64_t>(), name));
}

Result<int> PresetCommand::use()
{
    BOOST_LEAF_AUTO(definition, findDefinition(argumentValue(arguments_, "<name>")));
    nlohmann::json body
            = {{"preset", definition["preset"]}, {"change", encodeAuditRecord(makeAuditRecord())}};
    if (const std::string revision = argumentValue(arguments_, "--revision"); !revision.empty()) {
        BOOST_LEAF_ASSIGN(body["expected_revision"], parseCount(revision, "--revision"));
    }
    std::uint64_t timeoutMs = 0;
    if (const std::string limit = argumentValue(arguments_, "--follow"); !limit.empty()) {
        BOOST_LEAF_ASSIGN(timeoutMs, parseCount(limit, "--follow"));
    }
    BOOST_LEAF_AUTO(inForce, client_.post("/v1/preset-in-force", body));
    print(inForce, describeInForce(inForce));
    if (timeoutMs == 0)
        return ExitSuccess;
    return waitForFollowers(inForce["revision"], static_cast<std::int64_t>(timeoutMs));
}

Result<int> PresetCommand::waitForFollowers(std::uint64_t revision, std::int64_t timeoutMs)
{
    const Clock clock;
    const TimePoint end = clock.now() + Milliseconds(timeoutMs);
    StopSignal pause;
    for (;;) {
        BOOST_LEAF_AUTO(followers, client_.get("/v1/preset-followers"));
        const bool all = allFollow(followers, revision);
        if (all || clock.now() >= end) {
            print(followers, describeFollowers(followers, revision));
            return all ? ExitSuccess : ExitUnknown;
        }
        pause.sleepUnlessStopped(followerPollInterval);
    }
}

Result<int> PresetCommand::showAudit()
{
    BOOST_LEAF_AUTO(changes, client_.get("/v1/audit?day=" + argumentValue(arguments_, "<day>")));
    constexpr std::int64_t millisecondsPerSecond = 1000;
    std::string text = fmt::format("{:<20} {:<16} {:<24} {:<24} {}\n", "WHEN (UTC)", "WHO", "FROM",
                                   "TO", "WHY");
    for (const nlohmann::json &change : changes) {
        const std::time_t when = change["when_ms"].get<std::int64_t>() / millisecondsPerSecond;
        text += fmt::format("{:%Y-%m-%d %H:%M:%S}  {:<16} {:<24} {:<24} {}\n", fmt::gmtime(when),
                            change["who"].get<std::string>(), change["from"].get<std::string>(),
                            change["to"].get<std::string>(), change["why"].get<std::string>());
    }
    return print(changes, text);
}

AuditRecord PresetCommand::makeAuditRecord() const
{
    std::random_device random;
    AuditRecord change;
    change.id = ChangeId(fmt::format("{:08x}{:08x}", random(), random()));
    change.who = OperatorName(argumentValue(arguments_, "--who"));
    change.why = argumentValue(arguments_, "--why");
    change.when = Clock::wallClock();
    return change;
}

} // namespace caraway
