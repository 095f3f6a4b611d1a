#include "TreeCodec.h"

#include "Messages/CellCodec.h"
#include "platform/PlatformJson.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace caraway::tests {

namespace {

using namespace cell;
using platform::counts;
using platform::durationsMs;
using platform::encodeStep;
using platform::encodeTask;
using platform::identifiers;
using platform::Limits;
using platform::priorities;
using platform::timesMs;
using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpInvalid = 400;
constexpr int httpRefused = 409;
constexpr int httpMisdirected = 421;
constexpr int httpBusy = 429;
constexpr int httpUnavailable = 503;

std::int64_t toInteger(const Json &value, const char *field, const Limits &limits);
std::int64_t integerOr(const Json &object, const char *field, std::int64_t fallback,
                       const Limits &limits);
double numberOr(const Json &object, const char *field, double fallback, const Limits &limits);
std::string requiredText(const Json &object, const char *field);
std::string textOr(const Json &object, const char *field, const std::string &fallback);

/// Maximum nesting of a message body; the platform's messages use a third of it.
constexpr int maxNesting = 16;
constexpr std::int64_t bytesPerMegabyte = 1 << 20;
constexpr double percent = 100;
constexpr double microsecondsPerMillisecond = 1000;
/// Doubles represent all whole numbers up to 2^53 exactly.
constexpr double maxExactDouble = 9'007'199'254'740'992;
constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t maxLabels = 64;
constexpr Limits millicores {0, 100'000'000};
/// Up to 1 PiB.
constexpr Limits megabytes {0, 1 << 30};
constexpr Limits accelerators {0, 100'000};
constexpr Limits stretches {0, 100};

[[noreturn]] void failField(std::string_view field, std::string_view problem)
{
    throw std::invalid_argument(fmt::format("field \"{}\" {}", field, problem));
}

bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (!inString && (c == '{' || c == '['))
            ++depth;
        else if (!inString && (c == '}' || c == ']'))
            --depth;
        if (depth > maxNesting)
            return true;
    }
    return false;
}

const Json *findField(const Json &object, const char *field)
{
    const auto found = object.find(field);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

template<class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string checkedName(const Json &value, const char *field)
{
    if (!value.is_string())
        failField(field, "is not a string");
    auto text = value.get<std::string>();
    const auto isControl = [](unsigned char c) { return std::iscntrl(c) != 0; };
    if (text.empty() || text.size() > maxNameBytes)
        failField(field, fmt::format("has {} bytes instead of 1 to {}", text.size(), maxNameBytes));
    if (std::any_of(text.begin(), text.end(), isControl))
        failField(field, "contains a control character");
    return text;
}

template<class Round>
Resources decodeRounded(const Json &object, Round round)
{
    const auto amountOf = [&](const char *field, const Limits &limits) {
        return static_cast<std::int64_t>(round(numberOr(object, field, 0, limits)));
    };
    Resources resources;
    resources.processors = Millicores(amountOf("cpu", millicores));
    resources.memory = Bytes(amountOf("memMb", megabytes) * bytesPerMegabyte);
    resources.accelerators = Accelerators(amountOf("gpus", accelerators));
    return resources;
}

Queue decodeRoute(const Json &route)
{
    Queue queue;
    queue.id = QueueId(requiredText(route, "name"));
    queue.host = requiredText(route, "hostname");
    queue.prefix = requiredText(route, "prefix");
    queue.upstream = UpstreamId(textOr(route, "service", {}));
    queue.priority = integerOr(route, "priority", 0, priorities);
    queue.maxAttempts = std::max<std::int64_t>(1, integerOr(route, "maxAttempts", 1, counts));
    queue.stretchPercent = std::llround(numberOr(route, "stretch", 1, stretches) * percent);
    queue.objective = Milliseconds(integerOr(route, "targetDurationMs", 0, durationsMs));
    queue.timeout = Milliseconds(integerOr(route, "timeoutMs", 3000, durationsMs));
    if (const Json *advice = findField(route, "advice")) {
        ApprovalSettings approval;
        approval.perRequest = Milliseconds(integerOr(*advice, "decisionMs", 0, durationsMs));
        approval.perWorkerMicroseconds = std::llround(
                numberOr(*advice, "perWorkerMs", 0, durationsMs) * microsecondsPerMillisecond);
        approval.ticketValidity = Milliseconds(integerOr(*advice, "validityMs", 0, durationsMs));
        queue.approval = approval;
    }
    return queue;
}

Json parseBody(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return nullptr;
    Json json = Json::parse(text.begin(), text.end(), nullptr, false);
    return json.is_discarded() ? Json(nullptr) : json;
}

Json parseObject(std::string_view text)
{
    Json json = parseBody(text);
    if (!json.is_object())
        throw std::invalid_argument("not a JSON object, or nested too deeply");
    return json;
}

std::int64_t toInteger(const Json &value, const char *field, const Limits &limits)
{
    if (!value.is_number())
        failField(field, "is not a number");
    bool isInRange = false;
    if (value.is_number_float()) {
        const double rounded = std::round(value.get<double>());
        isInRange = std::abs(rounded) <= maxExactDouble
                && rounded >= static_cast<double>(limits.min)
                && rounded <= static_cast<double>(limits.max);
        if (isInRange)
            return static_cast<std::int64_t>(rounded);
    } else if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        isInRange = std::cmp_greater_equal(number, limits.min)
                && std::cmp_less_equal(number, limits.max);
    } else {
        const auto number = value.get<std::int64_t>();
        isInRange = number >= limits.min && number <= limits.max;
    }
    if (!isInRange)
        failField(field, fmt::format("is not between {} and {}", limits.min, limits.max));
    return value.get<std::int64_t>();
}

std::optional<std::int64_t> findInteger(const Json &object, const char *field, const Limits &limits)
{
    const Json *found = findField(object, field);
    return found ? std::optional(toInteger(*found, field, limits)) : std::nullopt;
}

std::int64_t integerOr(const Json &object, const char *field, std::int64_t fallback,
                       const Limits &limits)
{
    return findInteger(object, field, limits).value_or(fallback);
}

double numberOr(const Json &object, const char *field, double fallback, const Limits &limits)
{
    const Json *found = findField(object, field);
    if (!found)
        return fallback;
    if (!found->is_number())
        failField(field, "is not a number");
    const auto number = found->get<double>();
    if (!(number >= static_cast<double>(limits.min) && number <= static_cast<double>(limits.max)))
        failField(field, fmt::format("is not between {} and {}", limits.min, limits.max));
    return number;
}

std::string requiredText(const Json &object, const char *field)
{
    const Json *found = findField(object, field);
    if (!found)
        failField(field, "is missing");
    if (!found->is_string())
        failField(field, "is not a string");
    return found->get<std::string>();
}

std::string textOr(const Json &object, const char *field, const std::string &fallback)
{
    return findField(object, field) ? requiredText(object, field) : fallback;
}

std::string requiredName(const Json &object, const char *field)
{
    const Json *found = findField(object, field);
    if (!found)
        failField(field, "is missing");
    return checkedName(*found, field);
}

bool flagOr(const Json &object, const char *field, bool fallback)
{
    const Json *found = findField(object, field);
    if (found && !found->is_boolean())
        failField(field, "is neither true nor false");
    return found ? found->get<bool>() : fallback;
}

Address decodeAddress(const Json &object, const char *field)
{
    const std::string address = requiredName(object, field);
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        failField(field, "is not of the form HOST:PORT");
    const auto port = parseNumber<std::uint16_t>(std::string_view(address).substr(colon + 1));
    if (!port || *port == 0)
        failField(field, "has no port between 1 and 65535");
    return {address.substr(0, colon), *port};
}

Resources decodeResources(const Json &object)
{
    return decodeRounded(object, [](double amount) { return std::ceil(amount); });
}

Resources decodeCapacity(const Json &object)
{
    return decodeRounded(object, [](double amount) { return std::floor(amount); });
}

std::optional<TaskKey> decodeTask(const std::string &text)
{
    std::string_view remainder = text;
    std::uint64_t numbers[3] = {};
    for (int i = 2; i >= 0; --i) {
        const std::size_t dot = remainder.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto number = parseNumber<std::uint64_t>(remainder.substr(dot + 1));
        if (!number)
            return std::nullopt;
        numbers[i] = *number;
        remainder = remainder.substr(0, dot);
    }
    return TaskKey {JobId(std::string(remainder)), Occurrence(numbers[0]), StepIndex(numbers[1]),
                    TaskIndex(numbers[2])};
}

CellConfiguration decodeConfiguration(const Json &json)
{
    CellConfiguration configuration;
    configuration.version = ConfigurationVersion(
            static_cast<std::uint64_t>(toInteger(json.at("version"), "version", identifiers)));
    for (const Json &route : json.at("routes"))
        configuration.queues.push_back(decodeRoute(route));
    for (const Json &service : json.at("services")) {
        const UpstreamId id(requiredText(service, "name"));
        configuration.upstreams.insert(id);
        if (flagOr(service, "rejectsOverload", false))
            configuration.upstreamsRejectingOverload.insert(id);
    }
    return configuration;
}

WorkerEntry decodeWorkerEntry(const std::string &id, const Json &json)
{
    WorkerEntry entry;
    entry.id = WorkerId(checkedName(id, "id"));
    // `born` is the start time; a worker that restarts under the same id has a later one.
    entry.incarnation
            = WorkerIncarnation(static_cast<std::uint64_t>(integerOr(json, "born", 0, timesMs)));
    entry.upstream = UpstreamId(requiredName(json, "service"));
    entry.address = decodeAddress(json, "address");
    if (findField(json, "zone"))
        entry.zone = ZoneId(requiredName(json, "zone"));
    const std::string state = requiredText(json, "state");
    if (state != "ready" && state != "draining")
        failField("state", "is neither ready nor draining");
    entry.draining = state == "draining";
    if (const auto remaining = findInteger(json, "remainingMs", durationsMs))
        entry.remaining = Milliseconds(*remaining);
    if (const auto clock = findInteger(json, "clockMs", timesMs))
        entry.reportedAt = WorkerTime(*clock);
    const Json *capacity = findField(json, "capacity");
    if (!capacity || !capacity->is_object())
        failField("capacity", "is not an object");
    entry.capacity = decodeCapacity(*capacity);
    if (const Json *labels = findField(json, "labels")) {
        if (!labels->is_array() || labels->size() > maxLabels)
            failField("labels", fmt::format("is not an array of at most {}", maxLabels));
        for (const Json &label : *labels)
            entry.labels.emplace_back(checkedName(label, "labels"));
    }
    return entry;
}

std::string encodeCommand(const WorkerStart &start, Json &&body)
{
    body["task"] = encodeTask(start.task);
    body["run"] = start.run.value();
    body["spec"] = start.payload;
    body["deadlineMs"] = start.deadline.count();
    if (!start.checkpoint.empty())
        body["checkpoint"] = start.checkpoint;
    if (!start.ticket.empty())
        body["ticket"] = start.ticket;
    return body.dump();
}

std::string encodeCommand(const WorkerStop &stop, Json &&body)
{
    body["task"] = encodeTask(stop.task);
    body["run"] = stop.run.value();
    return body.dump();
}

std::string encodeCommand(const WorkerHeartbeat &heartbeat, Json &&body)
{
    body["ackedThrough"] = heartbeat.acknowledged.value();
    if (heartbeat.deadline > WorkerTime())
        body["deadlineMs"] = heartbeat.deadline.count();
    if (heartbeat.wait > Milliseconds())
        body["waitMs"] = heartbeat.wait.count();
    return body.dump();
}

WorkerOutcome decodeRefusal(const std::string &reason)
{
    if (reason == "fence")
        return WorkerOutcome::Fenced;
    if (reason == "old")
        return WorkerOutcome::Superseded;
    if (reason == "late")
        return WorkerOutcome::DeadlinePassed;
    if (reason == "room")
        return WorkerOutcome::InsufficientCapacity;
    return reason == "ticket" ? WorkerOutcome::TicketInvalid : WorkerOutcome::Invalid;
}

CompletionReason decodeCompletionReason(const std::string &reason)
{
    if (reason == "done")
        return CompletionReason::Succeeded;
    if (reason == "stopped")
        return CompletionReason::Stopped;
    if (reason == "lapsed")
        return CompletionReason::LeaseExpired;
    if (reason == "broken")
        return CompletionReason::GangMemberStopped;
    return reason == "alone" ? CompletionReason::GangIncomplete : CompletionReason::Failed;
}

template<class Number>
Number decodeNumber(const Json &value, const char *field)
{
    return Number(static_cast<std::uint64_t>(toInteger(value, field, identifiers)));
}

/// An invalid percentage counts as 0, so that it does not make the run unknown.
Percent decodePercent(const Json &value)
{
    constexpr double maxPercent = 100;
    const double number = value.is_number() ? value.get<double>() : 0;
    return Percent(static_cast<std::int64_t>(std::clamp(number, 0.0, maxPercent)));
}

/// Decodes a row [task, run, checkpoint, percent]; nothing when the task is malformed.
std::optional<RunningTask> decodeRunning(const Json &row)
{
    const std::optional<TaskKey> task = decodeTask(row.at(0).get<std::string>());
    if (!task)
        return std::nullopt;
    return RunningTask {*task, decodeNumber<RunNumber>(row.at(1), "run"),
                        row.at(2).get<std::string>(), decodePercent(row.at(3))};
}

/// Decodes a row [number, task, run, reason, checkpoint]; nothing when the task is malformed.
std::optional<CompletedRun> decodeCompletion(const Json &row)
{
    const std::optional<TaskKey> task = decodeTask(row.at(1).get<std::string>());
    if (!task)
        return std::nullopt;
    return CompletedRun {decodeNumber<CompletionNumber>(row.at(0), "number"), *task,
                         decodeNumber<RunNumber>(row.at(2), "run"),
                         decodeCompletionReason(row.at(3).get<std::string>()),
                         row.at(4).get<std::string>()};
}

/// The rows of an array; none when the field is missing.
const Json &rowsOf(const Json &json, const char *field)
{
    static const Json none = Json::array();
    const auto found = json.find(field);
    if (found == json.end())
        return none;
    if (!found->is_array())
        throw std::invalid_argument(field);
    return *found;
}

void decodeBody(const Json &json, WorkerReply &reply)
{
    if (const std::optional<std::int64_t> clock = findInteger(json, "clockMs", timesMs))
        reply.clock = WorkerTime(*clock);
    if (const std::optional<std::int64_t> born = findInteger(json, "born", timesMs))
        reply.incarnation = WorkerIncarnation(static_cast<std::uint64_t>(*born));
    if (reply.outcome == WorkerOutcome::Invalid)
        reply.outcome = decodeRefusal(textOr(json, "reason", {}));
    for (const Json &row : rowsOf(json, "running")) {
        if (std::optional<RunningTask> task = decodeRunning(row))
            reply.running.push_back(std::move(*task));
    }
    for (const Json &row : rowsOf(json, "finished")) {
        if (std::optional<CompletedRun> run = decodeCompletion(row))
            reply.completed.push_back(std::move(*run));
    }
}

WorkerOutcome decodeOutcome(const HttpResponse &response)
{
    if (response.outcome == HttpOutcome::NotSent)
        return WorkerOutcome::NotSent;
    if (response.outcome == HttpOutcome::Unanswered)
        return WorkerOutcome::Unanswered;
    switch (response.status) {
    case httpOk:
        return WorkerOutcome::Done;
    case httpMisdirected:
        return WorkerOutcome::Misdirected;
    case httpBusy:
    case httpUnavailable:
        return WorkerOutcome::Unhealthy;
    case httpInvalid:
    case httpRefused:
        return WorkerOutcome::Invalid;
    default:
        return WorkerOutcome::Unanswered;
    }
}

struct RecordTypeKey
{
    RecordType type;
    /// A prefix that ends in a slash for a type with many records; the whole key for a type with
    /// one record.
    std::string_view key;
};

constexpr std::array recordTypeKeys = std::to_array<RecordTypeKey>({
        {RecordType::Holder, "caraway/holder/record"},
        {RecordType::HolderLease, "caraway/holder/lease"},
        {RecordType::CommitSequence, "caraway/sequence"},
        {RecordType::FurtherSequences, "caraway/sequence/"},
        {RecordType::Roster, "caraway/roster"},
        {RecordType::ClosedWorkers, "caraway/closed-workers"},
        {RecordType::Jobs, "caraway/in/job/"},
        {RecordType::Cancels, "caraway/in/cancel/"},
        {RecordType::JobsAndCancels, "caraway/in/"},
        {RecordType::Progress, "caraway/progress/"},
        {RecordType::Results, "caraway/result/"},
        {RecordType::StartLog, "caraway/start-log/"},
        {RecordType::Configuration, "op/config"},
        {RecordType::Workers, "servers/"},
});

constexpr int httpBadRequest = 400;
constexpr int httpForbidden = 403;
constexpr int httpNotFound = 404;
constexpr int httpGone = 410;
constexpr int httpConflict = 412;
constexpr int httpTooLarge = 413;

std::string_view storeKey(RecordType type)
{
    for (const RecordTypeKey &entry : recordTypeKeys) {
        if (entry.type == type)
            return entry.key;
    }
    return {};
}

std::string encodeKey(const RecordKey &key)
{
    return std::string(storeKey(key.type)) + key.name;
}

std::optional<RecordKey> decodeKey(const std::string &text)
{
    for (const RecordTypeKey &entry : recordTypeKeys) {
        if (entry.type == RecordType::JobsAndCancels)
            continue;
        if (entry.key.ends_with('/') && text.starts_with(entry.key))
            return RecordKey {entry.type, text.substr(entry.key.size())};
        if (text == entry.key)
            return RecordKey {entry.type, {}};
    }
    return std::nullopt;
}

std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

RecordValue decodeValue(const RecordKey &key, const std::string &bytes)
{
    if (key.type != RecordType::Configuration && key.type != RecordType::Workers)
        return decodeRecord(key.type, bytes);
    const Json json = parseObject(bytes);
    if (key.type == RecordType::Configuration)
        return decodeConfiguration(json);
    return decodeWorkerEntry(key.name, json);
}

/// Decodes all but the key. Throws a std::exception when the row is malformed.
void decodeRow(const Json &json, StoreItem &item)
{
    item.revision
            = Revision(static_cast<std::uint64_t>(integerOr(json, "revision", 0, identifiers)));
    item.deleted = flagOr(json, "deleted", false);
    if (item.deleted || item.revision == Revision())
        return;
    const std::optional<std::string> bytes = fromBase64(requiredText(json, "value"));
    if (!bytes)
        throw std::invalid_argument("not base64");
    item.value = decodeValue(item.key, *bytes);
}

std::optional<StoreItem> decodeItem(const Json &json)
{
    const std::optional<RecordKey> key = decodeKey(requiredText(json, "key"));
    if (!key)
        return std::nullopt;
    StoreItem item;
    item.key = *key;
    try {
        decodeRow(json, item);
    } catch (const std::exception &error) {
        // The other rows of the reply are valid.
        item.value = Malformed {error.what()};
    }
    return item;
}

void decodeItems(const Json &rows, StoreReply &reply)
{
    for (const Json &row : rows) {
        if (std::optional<StoreItem> item = decodeItem(row))
            reply.items.push_back(std::move(*item));
    }
}

StoreOutcome decodeStoreOutcome(const HttpResponse &response)
{
    if (response.outcome == HttpOutcome::NotSent)
        return StoreOutcome::Refused;
    if (response.outcome == HttpOutcome::Unanswered)
        return StoreOutcome::Unanswered;
    switch (response.status) {
    case httpOk:
        return StoreOutcome::Done;
    case httpNotFound:
        return StoreOutcome::NotFound;
    case httpGone:
        return StoreOutcome::HistoryCompacted;
    case httpConflict:
        return StoreOutcome::Conflict;
    case httpBadRequest:
    case httpForbidden:
    case httpTooLarge:
        return StoreOutcome::Invalid;
    default:
        return StoreOutcome::Refused;
    }
}

void decodeStoreBody(const StoreRequest &request, const Json &json, StoreReply &reply)
{
    const std::int64_t at
            = integerOr(json, "at", integerOr(json, "revision", 0, identifiers), identifiers);
    reply.revision = Revision(static_cast<std::uint64_t>(at));
    reply.lease = LeaseId(static_cast<std::uint64_t>(integerOr(json, "lease", 0, identifiers)));
    reply.hasMore = flagOr(json, "hasMore", false);
    if (json.contains("items"))
        decodeItems(json.at("items"), reply);
    if (json.contains("events"))
        decodeItems(json.at("events"), reply);
    if (std::holds_alternative<StoreGet>(request) && reply.outcome == StoreOutcome::Done) {
        std::optional<StoreItem> item = decodeItem(json);
        if (!item)
            throw std::invalid_argument("another key");
        reply.items.push_back(std::move(*item));
    }
}

StepSpec decodeStep(const Json &json)
{
    if (!json.is_object())
        throw std::invalid_argument("step");
    StepSpec step;
    step.tasks = integerOr(json, "count", 1, counts);
    step.need = decodeResources(json);
    step.estimate = Milliseconds(integerOr(json, "estimateMs", 0, durationsMs));
    if (json.contains("after")) {
        for (const Json &predecessor : json.at("after"))
            step.after.emplace_back(
                    static_cast<std::uint64_t>(toInteger(predecessor, "after", counts)));
    }
    step.checkpoints = flagOr(json, "checkpointing", false);
    step.gang = flagOr(json, "gang", false);
    step.sameRack = flagOr(json, "sameRack", false);
    step.speculative = flagOr(json, "speculative", false);
    step.longRunning = flagOr(json, "longRunning", false);
    step.fillsIdleTime = flagOr(json, "fills", false);
    step.requiredLabel = Label(textOr(json, "requiredLabel", {}));
    step.preferredRack = Label(textOr(json, "preferredRack", {}));
    step.image = textOr(json, "image", {});
    step.maxPerWorker = integerOr(json, "maxPerServer", 0, counts);
    step.maxUnavailable = integerOr(json, "maxUnavailable", 0, counts);
    step.latencyTarget = Milliseconds(integerOr(json, "targetMs", 0, durationsMs));
    return step;
}

} // namespace

WorkerReply decodeWorkerByTree(const WorkerRequest &request, const HttpResponse &response)
{
    WorkerReply reply;
    reply.outcome = decodeOutcome(response);
    const bool hasBody
            = reply.outcome == WorkerOutcome::Done || reply.outcome == WorkerOutcome::Invalid;
    const bool listsRuns = std::holds_alternative<WorkerHeartbeat>(request.command)
            && reply.outcome == WorkerOutcome::Done;
    if (!hasBody || (response.body.empty() && !listsRuns))
        return reply;
    try {
        decodeBody(parseObject(response.body), reply);
        if (listsRuns && !reply.clock)
            throw std::invalid_argument("clockMs");
    } catch (const std::exception &) {
        reply = {};
    }
    return reply;
}

StoreReply decodeStoreByTree(const StoreRequest &request, const HttpResponse &response)
{
    StoreReply reply;
    reply.outcome = decodeStoreOutcome(response);
    if (reply.outcome != StoreOutcome::Done && reply.outcome != StoreOutcome::Conflict)
        return reply;
    try {
        decodeStoreBody(request, parseObject(response.body), reply);
    } catch (const std::exception &) {
        reply = {};
    }
    return reply;
}

std::optional<JobSpec> decodeJobByTree(const JobId &id, const std::string &body)
{
    try {
        const Json json = parseObject(body);
        if (!json.at("steps").is_array())
            return std::nullopt;
        JobSpec spec;
        spec.id = id;
        spec.payload = textOr(json, "spec", {});
        for (const Json &step : json.at("steps"))
            spec.steps.push_back(decodeStep(step));
        spec.schedule = {integerOr(json, "runCount", 0, counts),
                         WallTime(integerOr(json, "startTimeMs", 0, timesMs)),
                         Milliseconds(integerOr(json, "intervalMs", 0, timesMs))};
        return spec;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeWorkerByTree(const WorkerRequest &request)
{
    Json body = {{"fencingToken", request.token.value()}};
    return std::visit([&](const auto &command) { return encodeCommand(command, std::move(body)); },
                      request.command);
}

std::string encodeApprovalByTree(const ApprovalRequest &request)
{
    Json workers = Json::array();
    for (const WorkerId &worker : request.workers)
        workers.push_back(worker.value());
    const Json body = {{"step", encodeStep(request.step)}, {"workers", std::move(workers)}};
    return body.dump();
}

std::string encodeCommitByTree(const StoreCommit &commit)
{
    Json preconditions = Json::array();
    for (const StorePrecondition &precondition : commit.preconditions) {
        preconditions.push_back({{"key", encodeKey(precondition.key)},
                                 {"revision", precondition.revision.value()}});
    }
    Json writes = Json::array();
    for (const StoreWrite &write : commit.writes) {
        Json row = {{"key", encodeKey(write.key)}, {"value", toBase64(encodeRecord(write.value))}};
        if (write.lease != LeaseId())
            row["lease"] = write.lease.value();
        writes.push_back(std::move(row));
    }
    Json deletes = Json::array();
    for (const RecordKey &key : commit.deletes)
        deletes.push_back(encodeKey(key));
    const Json body = {{"precondition", std::move(preconditions)},
                       {"writes", std::move(writes)},
                       {"deletes", std::move(deletes)}};
    return body.dump();
}

} // namespace caraway::tests
