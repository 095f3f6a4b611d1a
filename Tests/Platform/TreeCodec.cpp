#include "TreeCodec.h"

#include "Messages/CellCodec.h"
#include "platform/PlatformJson.h"

#include <nlohmann/json.hpp>

#include <openssl/evp.h>

#include <array>

namespace caraway::tests {

namespace {

using namespace cell;
using platform::encodeStep;
using platform::encodeTask;
using Json = nlohmann::json;

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

std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

} // namespace

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
