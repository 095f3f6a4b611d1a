#include "Messages/CellFrameCodec.h"

#include "Messages/CborCheck.h"
#include "Messages/CellJson.h"

namespace caraway::cell {

namespace {

using cell::encode;

/// Incremented with every change of the frame format, so that two releases do not misinterpret each
/// other's frames.
constexpr unsigned frameVersion = 1;
Json encode(const ApprovalRequest &request)
{
    Json workers = Json::array();
    for (const WorkerId &worker : request.workers)
        workers.push_back(worker.value());
    return Json::array({request.step.job.value(), request.step.occurrence.value(),
                        request.step.step.value(), std::move(workers)});
}

ApprovalRequest decodeApprovalRequest(const Json &json)
{
    ApprovalRequest request;
    request.step = {decodeName<JobId>(json.at(0)), decodeNumber<Occurrence>(json.at(1)),
                    decodeNumber<StepIndex>(json.at(2))};
    for (const Json &worker : json.at(3))
        request.workers.push_back(decodeName<WorkerId>(worker));
    return request;
}

Json encode(const PeerHello &hello)
{
    return encode(hello.peers);
}
Json encode(const PeerJobAccepted &message)
{
    return encode(message.job);
}
Json encode(const PeerJobCancelled &message)
{
    return message.job.value();
}
Json encode(const PeerApprovalRequest &message)
{
    return Json::array({message.number, encode(message.request), message.timeout.count()});
}

Json encode(const PeerApprovalReply &message)
{
    Json approved = Json::array();
    for (const Approval &approval : message.reply.approved)
        approved.push_back(Json::array({approval.worker.value(), approval.ticket}));
    return Json::array({message.number, message.reply.answered, std::move(approved)});
}

Json encode(const PeerStateUpdate &message)
{
    Json changed = Json::array();
    for (const JobStateChange &row : message.changed)
        changed.push_back(Json::array({row.job.value(), static_cast<unsigned>(row.state)}));
    Json queues = Json::array();
    for (const QueueLoad &load : message.queues) {
        queues.push_back(
                Json::array({load.queue.value(), load.queuedJobs, load.expectedWait.count()}));
    }
    return Json::array({message.generation, message.configuration.value(), std::move(changed),
                        std::move(queues), message.number.value()});
}

Json encode(const PeerCallerRequest &message)
{
    const CallerRequest &request = message.request;
    Json body;
    if (const auto *submit = std::get_if<SubmitJob>(&request.body))
        body = encode(AcceptedJob {submit->spec, {}, 0, {}});
    else if (const auto *read = std::get_if<ReadJob>(&request.body))
        body = read->job.value();
    else if (const auto *cancel = std::get_if<CancelJob>(&request.body))
        body = cancel->job.value();
    return Json::array({request.id.value(), request.host, request.path, request.body.index(),
                        std::move(body), request.timeout.value_or(Milliseconds()).count(),
                        request.key.value()});
}

Json encode(const PeerCallerAnswer &message)
{
    const CallerAnswer &answer = message.answer;
    return Json::array({answer.id.value(), static_cast<unsigned>(answer.outcome),
                        static_cast<unsigned>(answer.state), answer.queuedJobs,
                        answer.retryAfter.count()});
}

Json encode(const PeerConfigurationRequest &message)
{
    return Json::array({message.number, message.known.value()});
}

Json encode(const PeerConfigurationReply &message)
{
    Json json = Json::array({message.number, message.version.value(), message.age.count()});
    if (message.configuration)
        json.push_back(encode(*message.configuration));
    return json;
}

PeerConfigurationReply decodeConfigurationReply(const Json &json)
{
    PeerConfigurationReply message;
    message.number = json.at(0).get<std::uint64_t>();
    message.version = decodeNumber<ConfigurationVersion>(json.at(1));
    message.age = decodeQuantity<Milliseconds>(json.at(2));
    if (json.size() > 3)
        message.configuration = decodeConfiguration(json.at(3));
    return message;
}

PeerCallerRequest decodeCallerRequest(const Json &json)
{
    CallerRequest request;
    request.id = decodeNumber<CallerRequestId>(json.at(0));
    request.host = json.at(1).get<std::string>();
    request.path = json.at(2).get<std::string>();
    const Json &body = json.at(4);
    switch (json.at(3).get<std::size_t>()) {
    case 0:
        request.body = SubmitJob {decodeJob(body).spec};
        break;
    case 1:
        request.body = ReadJob {decodeName<JobId>(body)};
        break;
    case 2:
        request.body = CancelJob {decodeName<JobId>(body)};
        break;
    default:
        request.body = CountPending {};
    }
    const auto timeout = decodeQuantity<Milliseconds>(json.at(5));
    if (timeout > Milliseconds())
        request.timeout = timeout;
    // Earlier releases know no accounts.
    if (json.size() > 6)
        request.key = decodeName<AccountKey>(json.at(6));
    return {std::move(request)};
}

PeerCallerAnswer decodeCallerAnswer(const Json &json)
{
    CallerAnswer answer;
    answer.id = decodeNumber<CallerRequestId>(json.at(0));
    const auto outcome = json.at(1).get<unsigned>();
    if (outcome >= callerOutcomes)
        throw std::out_of_range("unknown caller outcome");
    answer.outcome = static_cast<CallerOutcome>(outcome);
    answer.state = decodeState(json.at(2));
    answer.queuedJobs = json.at(3).get<std::int64_t>();
    answer.retryAfter = decodeQuantity<Milliseconds>(json.at(4));
    return {answer};
}

PeerApprovalReply decodeApprovalReply(const Json &json)
{
    PeerApprovalReply message;
    message.number = json.at(0).get<std::uint64_t>();
    message.reply.answered = json.at(1).get<bool>();
    for (const Json &row : json.at(2)) {
        message.reply.approved.push_back(
                {decodeName<WorkerId>(row.at(0)), row.at(1).get<std::string>()});
    }
    return message;
}

PeerStateUpdate decodeStateUpdate(const Json &json)
{
    PeerStateUpdate message;
    message.generation = json.at(0).get<std::uint64_t>();
    message.configuration = decodeNumber<ConfigurationVersion>(json.at(1));
    for (const Json &row : json.at(2))
        message.changed.push_back({decodeName<JobId>(row.at(0)), decodeState(row.at(1))});
    for (const Json &row : json.at(3)) {
        message.queues.push_back({decodeName<QueueId>(row.at(0)), row.at(1).get<std::int64_t>(),
                                  decodeQuantity<Milliseconds>(row.at(2))});
    }
    // Earlier releases do not number their updates.
    if (json.size() > 4)
        message.number = decodeNumber<StateUpdateNumber>(json.at(4));
    return message;
}

PeerMessage decodeMessage(std::size_t type, const Json &json)
{
    switch (type) {
    case 0:
        return PeerHello {decodeAddress(json)};
    case 1:
        return PeerJobAccepted {decodeJob(json)};
    case 2:
        return PeerJobCancelled {decodeName<JobId>(json)};
    case 3:
        return PeerApprovalRequest {json.at(0).get<std::uint64_t>(),
                                    decodeApprovalRequest(json.at(1)),
                                    decodeQuantity<Milliseconds>(json.at(2))};
    case 4:
        return decodeApprovalReply(json);
    case 5:
        return decodeStateUpdate(json);
    case 6:
        return decodeCallerRequest(json);
    case 7:
        return decodeCallerAnswer(json);
    case 8:
        return PeerConfigurationRequest {json.at(0).get<std::uint64_t>(),
                                         decodeNumber<ConfigurationVersion>(json.at(1))};
    case 9:
        return decodeConfigurationReply(json);
    default:
        throw std::out_of_range("unknown message type");
    }
}
} // namespace

std::string encodeCellFrame(const PeerFrame &frame)
{
    const Json body
            = std::visit([](const auto &message) { return encode(message); }, frame.message);
    return toBytes(Json::array({frameVersion, encode(frame.from), encode(frame.fromAddress),
                                frame.message.index(), body}));
}

Result<PeerFrame> decodeCellFrame(std::string_view bytes)
{
    BOOST_LEAF_CHECK(checkCbor(bytes));
    try {
        const Json json = Json::from_cbor(bytes.begin(), bytes.end());
        if (json.at(0).get<unsigned>() != frameVersion) {
            return fail(
                    ErrorKind::InvalidMessage,
                    "The peer frame has another version. Run the same release on all instances.");
        }
        return PeerFrame {decodeProcess(json.at(1)), decodeAddress(json.at(2)),
                          decodeMessage(json.at(3).get<std::size_t>(), json.at(4))};
    } catch (const std::exception &error) {
        return fail(ErrorKind::InvalidMessage,
                    std::string("The peer frame is malformed (") + error.what()
                            + "). Run the same release on all instances.");
    }
}
} // namespace caraway::cell
