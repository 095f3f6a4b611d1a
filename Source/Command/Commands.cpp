#include "Command/Commands.h"

#include "Command/CellSettingsReader.h"
#include "Command/ChartCommand.h"
#include "Command/EntryClient.h"
#include "Command/PresetCommand.h"
#include "Command/PresetReader.h"
#include "Command/ServeCommand.h"
#include "Command/SettingsReader.h"
#include "Command/SettingsTable.h"
#include "Messages/JobCodec.h"
#include "platform/PlatformEntry.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace caraway {

namespace {

Result<EntryClient> connectToEntry(const Arguments &arguments)
{
    return EntryClient::connect(argumentValue(arguments, "--entry"));
}

Result<nlohmann::json> readJobFile(const std::string &path)
{
    std::string text;
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
        std::ifstream file(path);
        if (!file) {
            return fail(ErrorKind::InvalidRequest,
                        fmt::format("{}: the file cannot be read. Check its path and permissions.",
                                    path));
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    return parseJson(text);
}

int exitCodeOf(JobState state)
{
    if (state == JobState::Unknown)
        return ExitUnknown;
    const bool failed = state == JobState::Failed || state == JobState::NotRun
            || state == JobState::Cancelled;
    return failed ? ExitJobFailed : ExitSuccess;
}

Result<int> printReport(const Arguments &arguments, const nlohmann::json &json)
{
    BOOST_LEAF_AUTO(report, decodeJobReport(json));
    if (arguments.at("--json").asBool()) {
        fmt::print("{}\n", json.dump(2));
        return exitCodeOf(report.state);
    }
    fmt::print("{}: {}\n", report.name.value(), json["state"].get<std::string>());
    if (report.error)
        fmt::print("  {}\n", report.error->message);
    for (const TaskAnswer &answer : report.answers) {
        fmt::print("  task {} on {}: {}\n", answer.index.value(), answer.worker.value(),
                   answer.content);
    }
    return exitCodeOf(report.state);
}

Result<int> submitJob(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(job, readJobFile(argumentValue(arguments, "<job>")));
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    nlohmann::json body = {{"job", std::move(job)}, {"wait_ms", 0}};
    if (arguments.at("--first").asBool())
        body["first"] = true;
    if (arguments.at("run").asBool())
        body["wait_ms"] = std::stoll(argumentValue(arguments, "--wait"));
    BOOST_LEAF_AUTO(answer, client.post("/v1/jobs", body));
    return printReport(arguments, answer);
}

Result<int> showStatus(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    BOOST_LEAF_AUTO(answer,
                    client.get("/v1/jobs/" + argumentValue(arguments, "<name>")
                               + "?wait_ms=" + argumentValue(arguments, "--wait")));
    return printReport(arguments, answer);
}

Result<int> cancelJob(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    BOOST_LEAF_AUTO(answer, client.remove("/v1/jobs/" + argumentValue(arguments, "<name>")));
    return printReport(arguments, answer);
}

Result<int> listWorkers(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    BOOST_LEAF_AUTO(rows, client.get("/v1/workers"));
    if (arguments.at("--json").asBool()) {
        fmt::print("{}\n", rows.dump(2));
        return ExitSuccess;
    }
    fmt::print("{:<20} {:<24} {:<8} {:>12} {:>12}\n", "SHARD", "WORKER", "STATE", "MILLICORES",
               "RESERVED");
    for (const nlohmann::json &row : rows) {
        fmt::print("{:<20} {:<24} {:<8} {:>12} {:>12}\n", row["shard"].get<std::string>(),
                   row["worker"].get<std::string>(), row["state"].get<std::string>(),
                   row["capacity"]["processors_millicores"].get<std::int64_t>(),
                   row["reserved"]["processors_millicores"].get<std::int64_t>());
    }
    return ExitSuccess;
}

Result<int> checkFile(const Arguments &arguments)
{
    if (arguments.at("--preset").asBool()) {
        BOOST_LEAF_AUTO(preset, readPresetFile(argumentValue(arguments, "<preset>")));
        fmt::print("preset {}: valid\n", preset.name.value());
        return ExitSuccess;
    }
    BOOST_LEAF_AUTO(settings, readSettingsFile(argumentValue(arguments, "<settings>")));
    fmt::print("settings of {}: valid\n", settings.decisions.self.value());
    return ExitSuccess;
}

Result<int> listSettings(const Arguments & /*arguments*/)
{
    for (const SettingsKey &key : settingsTable()) {
        fmt::print("{}.{}", key.section, key.name);
        if (const auto *number = std::get_if<IntegerKey>(&key.type)) {
            fmt::print(" = {} {} ({} to {})", number->defaultValue, key.unit, number->minimum,
                       number->maximum);
        } else {
            fmt::print(" (required{}{})", key.unit.empty() ? "" : ", as ", key.unit);
        }
        fmt::print("\n    {}\n", key.help);
    }
    return ExitSuccess;
}

Result<int> printVersion(const Arguments & /*arguments*/)
{
    fmt::print("carawaymount {}\n", CARAWAYMOUNT_VERSION);
    return ExitSuccess;
}

Result<int> serve(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(settings, readSettingsFile(argumentValue(arguments, "<settings>")));
    return serveUntilStopped(settings);
}

Result<int> serveEntry(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(settings, readCellSettingsFile(argumentValue(arguments, "<settings>")));
    return platform::serveOnPlatform(settings);
}

Result<int> chart(const Arguments &arguments)
{
    return printChart(argumentValue(arguments, "<chart>"));
}

Result<int> audit(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    return PresetCommand(arguments, std::move(client)).showAudit();
}

Result<int> preset(const Arguments &arguments)
{
    BOOST_LEAF_AUTO(client, connectToEntry(arguments));
    return PresetCommand(arguments, std::move(client)).run();
}

struct Subcommand
{
    std::string name;
    Result<int> (*run)(const Arguments &);
};

} // namespace

std::string argumentValue(const Arguments &arguments, const std::string &name)
{
    const docopt::value &value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

Result<int> runCommand(const Arguments &arguments)
{
    // "check" must precede "preset", because `check --preset` has an option of that name.
    static const Subcommand subcommands[] = {
            {"serve", serve},          {"submit", submitJob},      {"run", submitJob},
            {"entry", serveEntry},     {"status", showStatus},     {"cancel", cancelJob},
            {"workers", listWorkers},  {"check", checkFile},       {"preset", preset},
            {"audit", audit},          {"settings", listSettings}, {"chart", chart},
            {"version", printVersion},
    };
    for (const Subcommand &subcommand : subcommands) {
        if (arguments.at(subcommand.name).asBool())
            return subcommand.run(arguments);
    }
    return fail(ErrorKind::InvalidRequest, "No subcommand was given. See carawaymount --help.");
}

int exitCodeOf(const Error &error)
{
    if (error.kind == ErrorKind::OutcomeUnknown)
        return ExitUnknown;
    return error.kind == ErrorKind::Unreachable ? ExitUnreachable : ExitRefused;
}

} // namespace caraway
