#include "Messages/FleetCodec.h"

#include "Messages/JobCodec.h"

#include <fmt/format.h>

namespace caraway {

namespace {

constexpr std::int64_t maxPort = 65'535;

MemberState readState(ObjectReader &reader)
{
    return static_cast<MemberState>(reader.choice("state", {"live", "leaving"}, 0));
}

std::uint16_t readPort(ObjectReader &reader, const std::string &field)
{
    return static_cast<std::uint16_t>(reader.number(field, 1, maxPort));
}

Result<EntryMember> decodeEntry(const nlohmann::json &json)
{
    ObjectReader reader(json, "entry instance");
    EntryMember entry;
    entry.id = reader.id<InstanceId>("id");
    entry.zone = reader.id<ZoneId>("zone");
    const std::string host = reader.text("host");
    entry.callers = {host, readPort(reader, "caller_port")};
    entry.peers = {host, readPort(reader, "peer_port")};
    entry.state = readState(reader);
    BOOST_LEAF_CHECK(reader.finish());
    return entry;
}

Result<WorkerMember> decodeWorker(const nlohmann::json &json)
{
    ObjectReader reader(json, "worker");
    WorkerMember worker;
    worker.id = reader.id<WorkerId>("id");
    worker.zone = reader.id<ZoneId>("zone");
    worker.rack = reader.id<RackId>("rack");
    const std::string host = reader.text("host");
    worker.endpoint = {host, readPort(reader, "port")};
    const nlohmann::json &capacity = reader.object("capacity");
    worker.state = readState(reader);
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(worker.capacity, decodeResources(capacity, "worker's capacity"));
    return worker;
}

template<class Member>
void decodeMembers(const nlohmann::json &rows, Result<Member> (*decode)(const nlohmann::json &),
                   std::vector<Member> &members, std::vector<std::string> &malformed)
{
    for (const nlohmann::json &row : rows) {
        const auto add = [&]() -> Result<void> {
            BOOST_LEAF_AUTO(member, decode(row));
            members.push_back(std::move(member));
            return {};
        };
        recoverFrom(add, [&](const Error &error) {
            const nlohmann::json id = row.is_object() ? row.value("id", nlohmann::json()) : row;
            malformed.push_back(fmt::format(
                    "{}: {}", id.is_string() ? id.dump() : std::string("no id"), error.message));
        });
    }
}

} // namespace

Result<DecodedInstanceList> decodeInstanceList(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    ObjectReader reader(json, "instance list");
    DecodedInstanceList decoded;
    decodeMembers(reader.array("entries"), decodeEntry, decoded.list.entries, decoded.malformed);
    decodeMembers(reader.array("workers"), decodeWorker, decoded.list.workers, decoded.malformed);
    BOOST_LEAF_CHECK(reader.finish());
    return decoded;
}

std::string encodeShardRecord(const ShardRecord &record)
{
    nlohmann::json candidates = nlohmann::json::array();
    for (const InstanceId &candidate : record.candidates)
        candidates.push_back(candidate.value());
    const nlohmann::json json
            = {{"shard", record.shard.value()}, {"holder", record.holder.value()},
               {"epoch", record.epoch.value()}, {"renewal", record.renewal},
               {"released", record.released},   {"candidates", std::move(candidates)}};
    return json.dump();
}

Result<ShardRecord> decodeShardRecord(std::string_view value, Revision revision)
{
    BOOST_LEAF_AUTO(json, parseJson(value));
    ObjectReader reader(json, "shard record");
    ShardRecord record;
    record.shard = reader.id<ShardId>("shard");
    record.holder = reader.id<InstanceId>("holder");
    record.epoch = Epoch(static_cast<std::uint64_t>(reader.number("epoch")));
    record.renewal = static_cast<std::uint64_t>(reader.number("renewal"));
    record.released = reader.flagOr("released", false);
    for (const nlohmann::json &candidate : reader.array("candidates")) {
        if (!candidate.is_string())
            return fail(
                    ErrorKind::InvalidMessage,
                    "A candidate in a shard record is not a string. Check the writer's release.");
        record.candidates.emplace_back(candidate.get<std::string>());
    }
    record.revision = revision;
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

} // namespace caraway
