#include "Messages/JobCodec.h"

namespace caraway {

namespace {

constexpr std::int64_t maxTasks = 10'000;
constexpr std::int64_t maxMillicores = 100'000'000;
constexpr std::int64_t maxMemoryBytes = 1LL << 50;
constexpr std::int64_t maxAccelerators = 100'000;
constexpr std::int64_t maxSlots = 100'000;
constexpr std::size_t maxNameBytes = 200;

const std::vector<std::string_view> &durabilityNames()
{
    static const std::vector<std::string_view> names = {"attached", "detached"};
    return names;
}

const std::vector<std::string_view> &jobStateNames()
{
    static const std::vector<std::string_view> names
            = {"queued", "running", "done", "failed", "not_run", "cancelled", "unknown"};
    return names;
}

nlohmann::json encodeTaskAnswer(const TaskAnswer &answer)
{
    return {{"task", answer.index.value()},
            {"attempt", answer.attempt.value()},
            {"worker", answer.worker.value()},
            {"succeeded", answer.succeeded},
            {"content", answer.content}};
}

Result<TaskAnswer> decodeTaskAnswer(const nlohmann::json &json)
{
    ObjectReader reader(json, "task answer");
    TaskAnswer answer;
    answer.index = TaskIndex(static_cast<std::uint64_t>(reader.number("task")));
    answer.attempt = AttemptNumber(static_cast<std::uint64_t>(reader.number("attempt")));
    answer.worker = WorkerId(reader.text("worker"));
    answer.succeeded = reader.flagOr("succeeded", false);
    answer.content = reader.text("content");
    BOOST_LEAF_CHECK(reader.finish());
    return answer;
}

} // namespace

nlohmann::json encodeResources(const Resources &resources)
{
    return {{"processors_millicores", resources.processors.count()},
            {"memory_bytes", resources.memory.count()},
            {"accelerators", resources.accelerators.count()},
            {"slots", resources.slots.count()}};
}

Result<Resources> decodeResources(const nlohmann::json &json, std::string_view what)
{
    ObjectReader reader(json, std::string(what));
    Resources resources;
    resources.processors = Millicores(reader.number("processors_millicores", 0, maxMillicores));
    resources.memory = Bytes(reader.number("memory_bytes", 0, maxMemoryBytes));
    resources.accelerators = Accelerators(reader.numberOr("accelerators", 0, 0, maxAccelerators));
    resources.slots = Slots(reader.numberOr("slots", 1, 0, maxSlots));
    BOOST_LEAF_CHECK(reader.finish());
    return resources;
}

nlohmann::json encodeJobSpec(const JobSpec &spec)
{
    return {{"name", spec.name.value()},
            {"kind", spec.kind.value()},
            {"team", spec.team.value()},
            {"tasks", spec.taskCount},
            {"gang", spec.gang},
            {"idempotent", spec.idempotent},
            {"durability", durabilityNames()[static_cast<std::size_t>(spec.durability)]},
            {"per_task", encodeResources(spec.perTask)},
            {"expected_run_ms", spec.expectedRunTime.count()},
            {"payload", spec.payload}};
}

Result<JobSpec> decodeJobSpec(const nlohmann::json &json)
{
    ObjectReader reader(json, "job");
    JobSpec spec;
    spec.name = reader.id<JobName>("name");
    if (spec.name.value().size() > maxNameBytes)
        reader.addError("name", "is longer than 200 bytes", "Use a shorter name");
    spec.kind = reader.id<KindId>("kind");
    spec.team = reader.id<TeamId>("team");
    spec.taskCount = static_cast<std::uint32_t>(reader.numberOr("tasks", 1, 1, maxTasks));
    spec.gang = reader.flagOr("gang", false);
    spec.idempotent = reader.flagOr("idempotent", true);
    spec.durability = static_cast<Durability>(reader.choice("durability", durabilityNames(), 0));
    const nlohmann::json &perTask = reader.object("per_task");
    spec.expectedRunTime = Milliseconds(reader.numberOr("expected_run_ms", 0));
    spec.payload = reader.textOr("payload", "");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(spec.perTask, decodeResources(perTask, "job's per_task"));
    return spec;
}

nlohmann::json encodeError(const Error &error)
{
    return {{"kind", errorKindName(error.kind)}, {"message", error.message}};
}

Result<Error> decodeError(const nlohmann::json &json)
{
    ObjectReader reader(json, "error");
    Error error;
    error.kind = errorKindFromName(reader.text("kind"));
    error.message = reader.text("message");
    BOOST_LEAF_CHECK(reader.finish());
    return error;
}

nlohmann::json encodeJobReport(const JobReport &report)
{
    nlohmann::json json = {{"name", report.name.value()},
                           {"state", jobStateNames()[static_cast<std::size_t>(report.state)]},
                           {"retry_after_ms", report.retryAfter.count()},
                           {"waited_ms", report.waited.count()},
                           {"answers", nlohmann::json::array()}};
    if (report.error)
        json["error"] = encodeError(*report.error);
    for (const TaskAnswer &answer : report.answers)
        json["answers"].push_back(encodeTaskAnswer(answer));
    return json;
}

Result<JobReport> decodeJobReport(const nlohmann::json &json)
{
    ObjectReader reader(json, "job report");
    JobReport report;
    report.name = JobName(reader.text("name"));
    report.state = static_cast<JobState>(
            reader.choice("state", jobStateNames(), static_cast<std::size_t>(JobState::Unknown)));
    report.retryAfter = Milliseconds(reader.numberOr("retry_after_ms", 0));
    report.waited = Milliseconds(reader.numberOr("waited_ms", 0));
    if (reader.has("error")) {
        BOOST_LEAF_ASSIGN(report.error, decodeError(reader.object("error")));
    }
    for (const nlohmann::json &element : reader.array("answers")) {
        BOOST_LEAF_AUTO(answer, decodeTaskAnswer(element));
        report.answers.push_back(std::move(answer));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return report;
}

} // namespace caraway
