#include "Messages/PeerCodec.h"

#include "Messages/CborCheck.h"
#include "Messages/FleetCodec.h"
#include "Messages/JobCodec.h"
#include "Messages/PresetCodec.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

std::uint64_t readCount(ObjectReader &reader, const std::string &field)
{
    return static_cast<std::uint64_t>(reader.number(field));
}

Json encodeBody(const HolderSubmit &body)
{
    return {{"type", "submit"},
            {"spec", encodeJobSpec(body.spec)},
            {"wait_ms", body.wait.count()},
            {"first", body.isFirst}};
}

Json encodeBody(const HolderQuery &body)
{
    return {{"type", "query"}, {"name", body.name.value()}, {"wait_ms", body.wait.count()}};
}

Json encodeBody(const HolderCancel &body)
{
    return {{"type", "cancel"}, {"name", body.name.value()}};
}

Json encodeMessage(const HolderRequest &request)
{
    Json json = std::visit([](const auto &body) { return encodeBody(body); }, request.body);
    json["shard"] = request.shard.value();
    json["id"] = request.id.value();
    return json;
}

Json encodeMessage(const HolderReply &reply)
{
    return {{"type", "reply"},
            {"id", reply.id.value()},
            {"not_holder", reply.notHolder},
            {"report", encodeJobReport(reply.report)}};
}

Json encodeMessage(const PeerHeartbeat &heartbeat)
{
    Json held = Json::array();
    for (const auto &[shard, epoch] : heartbeat.held)
        held.push_back({{"shard", shard.value()}, {"epoch", epoch.value()}});
    return {{"type", "heartbeat"},
            {"held", std::move(held)},
            {"preset_revision", heartbeat.presetRevision.value()}};
}

Json encodeMessage(const PeerPreset &preset)
{
    return {{"type", "preset"},
            {"revision", preset.inForce.revision.value()},
            {"in_force", encodePresetInForce(preset.inForce)}};
}

Json encodeMessage(const ShardRecordNotice &notice)
{
    return {{"type", "shard_record"},
            {"revision", notice.record.revision.value()},
            {"record", encodeShardRecord(notice.record)}};
}

Json encodeMessage(const PromiseRequest &request)
{
    return {{"type", "promise_request"},
            {"shard", request.shard.value()},
            {"epoch", request.epoch.value()},
            {"round", request.round}};
}

Json encodeMessage(const PromiseReply &reply)
{
    return {{"type", "promise_reply"},
            {"shard", reply.shard.value()},
            {"epoch", reply.epoch.value()},
            {"round", reply.round},
            {"granted", reply.granted}};
}

Result<PeerMessage> decodeSubmit(ObjectReader &reader)
{
    HolderRequest request {ShardId(reader.text("shard")), RequestId(readCount(reader, "id")), {}};
    HolderSubmit body;
    const Json &spec = reader.object("spec");
    body.wait = Milliseconds(reader.number("wait_ms"));
    body.isFirst = reader.flagOr("first", false);
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(body.spec, decodeJobSpec(spec));
    request.body = std::move(body);
    return PeerMessage(std::move(request));
}

Result<PeerMessage> decodeQuery(ObjectReader &reader)
{
    HolderRequest request {ShardId(reader.text("shard")), RequestId(readCount(reader, "id")), {}};
    request.body = HolderQuery {reader.id<JobName>("name"), Milliseconds(reader.number("wait_ms"))};
    BOOST_LEAF_CHECK(reader.finish());
    return PeerMessage(std::move(request));
}

Result<PeerMessage> decodeCancel(ObjectReader &reader)
{
    HolderRequest request {ShardId(reader.text("shard")), RequestId(readCount(reader, "id")), {}};
    request.body = HolderCancel {reader.id<JobName>("name")};
    BOOST_LEAF_CHECK(reader.finish());
    return PeerMessage(std::move(request));
}

Result<PeerMessage> decodeReply(ObjectReader &reader)
{
    HolderReply reply;
    reply.id = RequestId(readCount(reader, "id"));
    reply.notHolder = reader.flagOr("not_holder", false);
    const Json &report = reader.object("report");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(reply.report, decodeJobReport(report));
    return PeerMessage(std::move(reply));
}

Result<PeerMessage> decodeHeartbeat(ObjectReader &reader)
{
    PeerHeartbeat heartbeat;
    heartbeat.presetRevision = Revision(readCount(reader, "preset_revision"));
    for (const Json &element : reader.array("held")) {
        ObjectReader entry(element, "held shard");
        ShardId shard(entry.text("shard"));
        const Epoch epoch(readCount(entry, "epoch"));
        BOOST_LEAF_CHECK(entry.finish());
        heartbeat.held.emplace_back(std::move(shard), epoch);
    }
    BOOST_LEAF_CHECK(reader.finish());
    return PeerMessage(std::move(heartbeat));
}

Result<PeerMessage> decodePresetMessage(ObjectReader &reader)
{
    const Revision revision(readCount(reader, "revision"));
    const Json &inForce = reader.object("in_force");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_AUTO(decoded, decodePresetInForce(inForce, revision));
    return PeerMessage(PeerPreset {std::move(decoded)});
}

Result<PeerMessage> decodeShardRecordNotice(ObjectReader &reader)
{
    const Revision revision(readCount(reader, "revision"));
    const std::string text = reader.text("record");
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_AUTO(record, decodeShardRecord(text, revision));
    return PeerMessage(ShardRecordNotice {std::move(record)});
}

Result<PeerMessage> decodePromiseRequest(ObjectReader &reader)
{
    PromiseRequest request;
    request.shard = ShardId(reader.text("shard"));
    request.epoch = Epoch(readCount(reader, "epoch"));
    request.round = readCount(reader, "round");
    BOOST_LEAF_CHECK(reader.finish());
    return PeerMessage(std::move(request));
}

Result<PeerMessage> decodePromiseReply(ObjectReader &reader)
{
    PromiseReply reply;
    reply.shard = ShardId(reader.text("shard"));
    reply.epoch = Epoch(readCount(reader, "epoch"));
    reply.round = readCount(reader, "round");
    reply.granted = reader.flagOr("granted", false);
    BOOST_LEAF_CHECK(reader.finish());
    return PeerMessage(std::move(reply));
}

using Decoder = Result<PeerMessage> (*)(ObjectReader &);

const std::vector<std::string_view> &messageTypeNames()
{
    static const std::vector<std::string_view> names
            = {"submit", "query",        "cancel",          "reply",        "heartbeat",
               "preset", "shard_record", "promise_request", "promise_reply"};
    return names;
}

constexpr Decoder decoders[] = {decodeSubmit,
                                decodeQuery,
                                decodeCancel,
                                decodeReply,
                                decodeHeartbeat,
                                decodePresetMessage,
                                decodeShardRecordNotice,
                                decodePromiseRequest,
                                decodePromiseReply};

} // namespace

std::string encodePeerFrame(const PeerFrame &frame)
{
    Json json
            = std::visit([](const auto &message) { return encodeMessage(message); }, frame.message);
    json["from"] = frame.from.value();
    json["incarnation"] = frame.incarnation.value();
    json["number"] = frame.number.value();
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<PeerFrame> decodePeerFrame(std::string_view bytes)
{
    if (bytes.size() > maxPeerFrameBytes)
        return fail(ErrorKind::InvalidMessage, "The frame is too large. Send smaller messages.");
    // from_cbor() is recursive, so the nesting depth is checked first.
    BOOST_LEAF_CHECK(checkCbor(bytes));
    const Json json = Json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return fail(ErrorKind::InvalidMessage, "The frame is not CBOR. Check the peer's release.");
    ObjectReader reader(json, "peer frame");
    InstanceId from = reader.id<InstanceId>("from");
    const Incarnation incarnation(readCount(reader, "incarnation"));
    const FrameNumber number(readCount(reader, "number"));
    if (!reader.has("type"))
        return fail(ErrorKind::InvalidMessage, "The frame has no type. Check the peer's release.");
    const std::size_t type = reader.choice("type", messageTypeNames(), 0);
    BOOST_LEAF_AUTO(message, decoders[type](reader));
    return PeerFrame {std::move(from), std::move(message), incarnation, number};
}

} // namespace caraway
