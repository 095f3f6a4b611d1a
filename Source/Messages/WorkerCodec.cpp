#include "Messages/WorkerCodec.h"

#include "Decisions/StableHash.h"
#include "Messages/JobCodec.h"

#include <fmt/format.h>

namespace caraway {

namespace {

using AttemptList = std::vector<std::pair<TaskId, AttemptNumber>>;

std::uint64_t readCount(ObjectReader &reader, const std::string &field)
{
    return static_cast<std::uint64_t>(reader.number(field));
}

nlohmann::json encodeAttempts(const AttemptList &attempts)
{
    nlohmann::json json = nlohmann::json::array();
    for (const auto &[task, attempt] : attempts) {
        json.push_back({{"job", task.job.value()},
                        {"task", task.index.value()},
                        {"attempt", attempt.value()}});
    }
    return json;
}

Result<AttemptList> decodeAttempts(const nlohmann::json &json)
{
    AttemptList attempts;
    for (const nlohmann::json &element : json) {
        ObjectReader reader(element, "attempt");
        TaskId task;
        task.job = reader.id<JobName>("job");
        task.index = TaskIndex(readCount(reader, "task"));
        const AttemptNumber attempt(readCount(reader, "attempt"));
        BOOST_LEAF_CHECK(reader.finish());
        attempts.emplace_back(std::move(task), attempt);
    }
    return attempts;
}

Result<InventoryEntry> decodeInventoryEntry(const nlohmann::json &json)
{
    ObjectReader reader(json, "inventory entry");
    InventoryEntry entry;
    entry.task.job = reader.id<JobName>("job");
    entry.task.index = TaskIndex(readCount(reader, "task"));
    entry.attempt = AttemptNumber(readCount(reader, "attempt"));
    entry.epoch = Epoch(readCount(reader, "epoch"));
    entry.condition = static_cast<TaskCondition>(
            reader.choice("condition", {"running", "succeeded", "failed", "stopped"}, 0));
    entry.content = reader.textOr("content", "");
    const std::string checksum = reader.textOr("checksum", "");
    const auto length = static_cast<std::size_t>(reader.numberOr("length", 0));
    entry.intact = entry.condition == TaskCondition::Running
            || (length == entry.content.size() && checksum == checksumOf(entry.content));
    const bool hasSpec = reader.has("spec");
    const nlohmann::json &spec = hasSpec ? reader.object("spec") : json;
    BOOST_LEAF_CHECK(reader.finish());
    if (hasSpec) {
        BOOST_LEAF_ASSIGN(entry.spec, decodeJobSpec(spec));
    }
    return entry;
}

} // namespace

std::string checksumOf(std::string_view content)
{
    return fmt::format("{:016x}", stableHash(content));
}

std::string encodeStart(const StartTask &start, Milliseconds remaining, const Endpoint &reportTo)
{
    const nlohmann::json json = {{"task", start.task.index.value()},
                                 {"attempt", start.attempt.value()},
                                 {"epoch", start.epoch.value()},
                                 {"shard", start.shard.value()},
                                 {"session", start.session.value()},
                                 {"not_after_ms", remaining.count()},
                                 {"report_to", {{"host", reportTo.host}, {"port", reportTo.port}}},
                                 {"spec", encodeJobSpec(start.spec)}};
    return json.dump();
}

std::string encodeHeartbeat(const HeartbeatWorker &heartbeat)
{
    const nlohmann::json json = {{"shard", heartbeat.shard.value()},
                                 {"epoch", heartbeat.epoch.value()},
                                 {"session", heartbeat.session.value()},
                                 {"beat", heartbeat.beat.value()},
                                 {"lease_ms", heartbeat.taskLease.count()},
                                 {"known", encodeAttempts(heartbeat.known)},
                                 {"taken", encodeAttempts(heartbeat.acknowledged)},
                                 {"stopped", encodeAttempts(heartbeat.stopped)},
                                 {"voided", encodeAttempts(heartbeat.voided)}};
    return json.dump();
}

Result<HeartbeatAnswered> decodeHeartbeatAnswer(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "heartbeat reply");
    HeartbeatAnswered answer;
    answer.answered = true;
    answer.session = reader.id<SessionId>("session");
    answer.beat = HeartbeatNumber(readCount(reader, "beat"));
    for (const nlohmann::json &element : reader.array("tasks")) {
        BOOST_LEAF_AUTO(entry, decodeInventoryEntry(element));
        answer.tasks.push_back(std::move(entry));
    }
    BOOST_LEAF_ASSIGN(answer.voided, decodeAttempts(reader.array("voided")));
    BOOST_LEAF_CHECK(reader.finish());
    return answer;
}

Result<TaskReported> decodeTaskReport(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "task report");
    TaskReported report;
    report.worker = reader.id<WorkerId>("worker");
    const nlohmann::json &entry = reader.object("entry");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(report.entry, decodeInventoryEntry(entry));
    return report;
}

} // namespace caraway
