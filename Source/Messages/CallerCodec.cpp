#include "Messages/CallerCodec.h"

#include "Messages/JobCodec.h"
#include "Messages/PresetCodec.h"

#include <map>
#include <regex>

namespace caraway {

namespace {

constexpr std::int64_t maxWaitMs = 20'000;

enum HttpStatus {
    Ok = 200,
    Accepted = 202,
    BadRequest = 400,
    NotFound = 404,
    ConflictStatus = 409,
    Unprocessable = 422,
    TooManyRequests = 429,
    BadGateway = 502,
    ServiceUnavailable = 503,
};

int httpStatusOf(ErrorKind kind)
{
    static const std::map<ErrorKind, int> statuses = {
            {ErrorKind::InvalidRequest, BadRequest},
            {ErrorKind::InvalidMessage, BadRequest},
            {ErrorKind::UnknownKind, Unprocessable},
            {ErrorKind::UnknownTeam, Unprocessable},
            {ErrorKind::NeverFits, Unprocessable},
            {ErrorKind::UnknownJob, NotFound},
            {ErrorKind::UnknownPreset, NotFound},
            {ErrorKind::QueueFull, TooManyRequests},
            {ErrorKind::WouldMissDeadline, TooManyRequests},
            {ErrorKind::NameInUse, ConflictStatus},
            {ErrorKind::Conflict, ConflictStatus},
            {ErrorKind::OutcomeUnknown, BadGateway},
    };
    const auto found = statuses.find(kind);
    return found == statuses.end() ? ServiceUnavailable : found->second;
}

CallerResponse encodeBody(const JobReport &report)
{
    int status = report.isFinal() ? Ok : Accepted;
    if (report.error && report.answers.empty())
        status = httpStatusOf(report.error->kind);
    return {status, encodeJobReport(report).dump()};
}

CallerResponse encodeBody(const std::vector<WorkerRow> &rows)
{
    nlohmann::json json = nlohmann::json::array();
    for (const WorkerRow &row : rows) {
        json.push_back({{"shard", row.shard.value()},
                        {"worker", row.worker.value()},
                        {"state", row.state},
                        {"capacity", encodeResources(row.capacity)},
                        {"reserved", encodeResources(row.reserved)}});
    }
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const PresetInForce &inForce)
{
    nlohmann::json json = encodePresetInForce(inForce);
    json["revision"] = inForce.revision.value();
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const std::vector<PresetDefinition> &definitions)
{
    nlohmann::json json = nlohmann::json::array();
    for (const PresetDefinition &definition : definitions) {
        nlohmann::json element = encodePresetDefinition(definition);
        element["revision"] = definition.revision.value();
        json.push_back(std::move(element));
    }
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const std::vector<Follower> &followers)
{
    nlohmann::json json = nlohmann::json::array();
    for (const Follower &follower : followers) {
        json.push_back({{"instance", follower.instance.value()},
                        {"revision", follower.revision.value()},
                        {"age_ms", follower.age.count()}});
    }
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const std::vector<AuditRecord> &changes)
{
    nlohmann::json json = nlohmann::json::array();
    for (const AuditRecord &change : changes)
        json.push_back(encodeAuditRecord(change));
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const InstanceStatus &status)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const ShardStatus &shard : status.shards) {
        shards.push_back({{"shard", shard.shard.value()},
                          {"lease", shard.leaseState},
                          {"epoch", shard.epoch.value()},
                          {"waiting", shard.waiting},
                          {"jobs", shard.jobs}});
    }
    const nlohmann::json json = {{"process", status.processState},
                                 {"preset_revision", status.presetRevision.value()},
                                 {"open_requests", status.openRequests},
                                 {"shards", std::move(shards)}};
    return {Ok, json.dump()};
}

CallerResponse encodeBody(const Error &error)
{
    return encodeErrorResponse(error);
}

} // namespace

Result<SubmitJob> decodeSubmit(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "request");
    SubmitJob submit;
    const nlohmann::json &job = reader.object("job");
    submit.isFirst = reader.flagOr("first", false);
    submit.wait = Milliseconds(reader.numberOr("wait_ms", 0, 0, maxWaitMs));
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(submit.spec, decodeJobSpec(job));
    return submit;
}

Result<UsePreset> decodeUsePreset(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "request");
    UsePreset command;
    const nlohmann::json &preset = reader.object("preset");
    const nlohmann::json &change = reader.object("change");
    if (reader.has("expected_revision"))
        command.expected = Revision(static_cast<std::uint64_t>(reader.number("expected_revision")));
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(command.preset, decodePreset(preset));
    BOOST_LEAF_ASSIGN(command.change, decodeAuditRecord(change));
    return command;
}

Result<DefinePreset> decodeDefinePreset(std::string_view body, const PresetName &name)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "request");
    const nlohmann::json &preset = reader.object("preset");
    const nlohmann::json &change = reader.object("change");
    DefinePreset command;
    command.definition.revision
            = Revision(static_cast<std::uint64_t>(reader.number("expected_revision")));
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(command.definition.preset, decodePreset(preset));
    BOOST_LEAF_ASSIGN(command.definition.lastChange, decodeAuditRecord(change));
    command.definition.lastChange.to = command.definition.preset.name;
    if (command.definition.preset.name != name) {
        return fail(
                ErrorKind::InvalidRequest,
                "The preset's name differs from the name in the path. Use the same name in both.");
    }
    return command;
}

Result<AuditDay> decodeAuditDay(const std::string &text)
{
    static const std::regex pattern(R"(\d{4}-\d{2}-\d{2})");
    if (!text.empty() && !std::regex_match(text, pattern))
        return fail(ErrorKind::InvalidRequest, "The day is not a date. Write it as YYYY-MM-DD.");
    return AuditDay(text);
}

CallerResponse encodeResponse(const AnswerCaller &answer)
{
    return std::visit([](const auto &body) { return encodeBody(body); }, answer.body);
}

CallerResponse encodeErrorResponse(const Error &error)
{
    const nlohmann::json json = {{"error", encodeError(error)}};
    return {httpStatusOf(error.kind), json.dump()};
}

} // namespace caraway
