#include "Messages/CellCodec.h"

#include "Messages/CborCheck.h"

#include <nlohmann/json.hpp>

namespace caraway::cell {

namespace {

using Json = nlohmann::json;

// Records are arrays with fields by position, because they are many and short. A field that a later
// release adds is appended; the decoder uses the default value when it is missing.

template<class Tag>
Json encode(const NameId<Tag> &id)
{
    return id.value();
}
template<class Tag>
Json encode(NumberId<Tag> id)
{
    return id.value();
}
template<class Unit>
Json encode(Quantity<Unit> quantity)
{
    return quantity.count();
}

template<class Id>
Id decodeName(const Json &json)
{
    return Id(json.get<std::string>());
}
template<class Id>
Id decodeNumber(const Json &json)
{
    return Id(json.get<std::uint64_t>());
}
template<class Amount>
Amount decodeQuantity(const Json &json)
{
    return Amount(json.get<std::int64_t>());
}

Json encode(const Address &address)
{
    return Json::array({address.host, address.port});
}

Address decodeAddress(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<std::uint16_t>()};
}

Json encode(const ProcessId &process)
{
    return Json::array({process.instance.value(), process.incarnation});
}

ProcessId decodeProcess(const Json &json)
{
    return {decodeName<InstanceId>(json.at(0)), json.at(1).get<std::uint64_t>()};
}

enum StepFlag : unsigned {
    Checkpoints = 1,
    Gang = 2,
    SameRack = 4,
    Speculative = 8,
    LongRunning = 16,
    FillsIdleTime = 32,
};

unsigned encodeFlags(const StepSpec &step)
{
    unsigned flags = 0;
    flags |= step.checkpoints ? Checkpoints : 0U;
    flags |= step.gang ? Gang : 0U;
    flags |= step.sameRack ? SameRack : 0U;
    flags |= step.speculative ? Speculative : 0U;
    flags |= step.longRunning ? LongRunning : 0U;
    flags |= step.fillsIdleTime ? FillsIdleTime : 0U;
    return flags;
}

Json encode(const StepSpec &step)
{
    Json after = Json::array();
    for (const StepIndex predecessor : step.after)
        after.push_back(predecessor.value());
    return Json::array({step.tasks, step.need.processors.count(), step.need.memory.count(),
                        step.need.accelerators.count(), step.estimate.count(), std::move(after),
                        encodeFlags(step), step.requiredLabel.value(), step.preferredRack.value(),
                        step.image, step.maxPerWorker, step.maxUnavailable,
                        step.latencyTarget.count()});
}

StepSpec decodeStep(const Json &json)
{
    StepSpec step;
    step.tasks = json.at(0).get<std::int64_t>();
    step.need.processors = decodeQuantity<Millicores>(json.at(1));
    step.need.memory = decodeQuantity<Bytes>(json.at(2));
    step.need.accelerators = decodeQuantity<Accelerators>(json.at(3));
    step.estimate = decodeQuantity<Milliseconds>(json.at(4));
    for (const Json &predecessor : json.at(5))
        step.after.push_back(decodeNumber<StepIndex>(predecessor));
    const auto flags = json.at(6).get<unsigned>();
    step.checkpoints = (flags & Checkpoints) != 0;
    step.gang = (flags & Gang) != 0;
    step.sameRack = (flags & SameRack) != 0;
    step.speculative = (flags & Speculative) != 0;
    step.longRunning = (flags & LongRunning) != 0;
    step.fillsIdleTime = (flags & FillsIdleTime) != 0;
    step.requiredLabel = decodeName<Label>(json.at(7));
    step.preferredRack = decodeName<Label>(json.at(8));
    step.image = json.at(9).get<std::string>();
    step.maxPerWorker = json.at(10).get<std::int64_t>();
    step.maxUnavailable = json.at(11).get<std::int64_t>();
    step.latencyTarget = decodeQuantity<Milliseconds>(json.at(12));
    return step;
}

Json encode(const Queue &queue)
{
    Json approval;
    if (queue.approval) {
        approval = Json::array({queue.approval->perRequest.count(),
                                queue.approval->perWorkerMicroseconds,
                                queue.approval->ticketValidity.count()});
    }
    return Json::array({queue.id.value(), queue.upstream.value(), queue.priority, queue.maxAttempts,
                        queue.stretchPercent, queue.objective.count(), std::move(approval)});
}

Queue decodeQueue(const Json &json)
{
    Queue queue;
    queue.id = decodeName<QueueId>(json.at(0));
    queue.upstream = decodeName<UpstreamId>(json.at(1));
    queue.priority = json.at(2).get<std::int64_t>();
    queue.maxAttempts = json.at(3).get<std::int64_t>();
    queue.stretchPercent = json.at(4).get<std::int64_t>();
    queue.objective = decodeQuantity<Milliseconds>(json.at(5));
    const Json &approval = json.at(6);
    if (approval.is_array()) {
        queue.approval = ApprovalSettings {decodeQuantity<Milliseconds>(approval.at(0)),
                                           approval.at(1).get<std::int64_t>(),
                                           decodeQuantity<Milliseconds>(approval.at(2))};
    }
    return queue;
}

Json encode(const AcceptedJob &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.spec.steps)
        steps.push_back(encode(step));
    const Schedule &schedule = job.spec.schedule;
    return Json::array({job.spec.id.value(), job.spec.payload, std::move(steps), schedule.runs,
                        schedule.firstDue.count(), schedule.interval.count(), encode(job.queue),
                        job.generation, job.acceptedAt.count()});
}

AcceptedJob decodeJob(const Json &json)
{
    AcceptedJob job;
    job.spec.id = decodeName<JobId>(json.at(0));
    job.spec.payload = json.at(1).get<std::string>();
    for (const Json &step : json.at(2))
        job.spec.steps.push_back(decodeStep(step));
    job.spec.schedule = {json.at(3).get<std::int64_t>(), decodeQuantity<WallTime>(json.at(4)),
                         decodeQuantity<Milliseconds>(json.at(5))};
    job.queue = decodeQueue(json.at(6));
    job.generation = json.at(7).get<std::uint64_t>();
    job.acceptedAt = decodeQuantity<WallTime>(json.at(8));
    return job;
}

template<class Value>
Json encodeMap(const std::map<std::uint64_t, Value> &rows)
{
    Json json = Json::array();
    for (const auto &[index, value] : rows)
        json.push_back(Json::array({index, value}));
    return json;
}

template<class Value>
std::map<std::uint64_t, Value> decodeMap(const Json &json)
{
    std::map<std::uint64_t, Value> rows;
    for (const Json &row : json)
        rows[row.at(0).get<std::uint64_t>()] = row.at(1).get<Value>();
    return rows;
}

Json encodeRuns(const std::map<std::uint64_t, std::set<RunNumber>> &rows)
{
    Json json = Json::array();
    for (const auto &[index, runs] : rows) {
        Json numbers = Json::array();
        for (const RunNumber run : runs)
            numbers.push_back(run.value());
        json.push_back(Json::array({index, std::move(numbers)}));
    }
    return json;
}

std::map<std::uint64_t, std::set<RunNumber>> decodeRuns(const Json &json)
{
    std::map<std::uint64_t, std::set<RunNumber>> rows;
    for (const Json &row : json) {
        std::set<RunNumber> &runs = rows[row.at(0).get<std::uint64_t>()];
        for (const Json &run : row.at(1))
            runs.insert(decodeNumber<RunNumber>(run));
    }
    return rows;
}

Json encodeCrashes(const StepProgress &step)
{
    Json json = Json::array();
    for (const auto &[index, crashes] : step.crashes) {
        const auto shared = step.sharedCrashes.find(index);
        Json list = Json::array();
        for (const WorkerCrash &crash : crashes) {
            Json row = Json::array({crash.worker.value(), crash.incarnation.value()});
            if (shared != step.sharedCrashes.end() && shared->second.contains(crash))
                row.push_back(1);
            list.push_back(std::move(row));
        }
        json.push_back(Json::array({index, std::move(list)}));
    }
    return json;
}

void decodeCrashes(const Json &json, StepProgress &step)
{
    for (const Json &row : json) {
        const auto index = row.at(0).get<std::uint64_t>();
        for (const Json &item : row.at(1)) {
            const WorkerCrash crash {decodeName<WorkerId>(item.at(0)),
                                     decodeNumber<WorkerIncarnation>(item.at(1))};
            step.crashes[index].insert(crash);
            // Earlier releases do not mark shared crashes.
            if (item.size() > 2)
                step.sharedCrashes[index].insert(crash);
        }
    }
}

Json encodeStarts(const std::map<std::uint64_t, RecordedStart> &rows)
{
    Json json = Json::array();
    for (const auto &[index, start] : rows) {
        json.push_back(Json::array({index, start.run.value(), start.worker.value(),
                                    start.incarnation.value(), encode(start.address)}));
    }
    return json;
}

std::map<std::uint64_t, RecordedStart> decodeStarts(const Json &json)
{
    std::map<std::uint64_t, RecordedStart> rows;
    for (const Json &row : json) {
        rows[row.at(0).get<std::uint64_t>()]
                = {decodeNumber<RunNumber>(row.at(1)), decodeName<WorkerId>(row.at(2)),
                   decodeNumber<WorkerIncarnation>(row.at(3)),
                   row.size() > 4 ? decodeAddress(row.at(4)) : Address()};
    }
    return rows;
}

Json encode(const JobProgress &progress)
{
    Json steps = Json::array();
    for (const StepProgress &step : progress.steps) {
        std::string done;
        for (const bool isDone : step.done)
            done.push_back(isDone ? '1' : '0');
        Json row = Json::array(
                {std::move(done), encodeRuns(step.failedRuns), encodeMap(step.checkpoints)});
        if (!step.crashes.empty())
            row.push_back(encodeCrashes(step));
        if (!step.crashes.empty() && !step.starts.empty())
            row.push_back(encodeStarts(step.starts));
        steps.push_back(std::move(row));
    }
    return steps;
}

JobProgress decodeProgress(const Json &json)
{
    JobProgress progress;
    for (const Json &row : json) {
        StepProgress &step = progress.steps.emplace_back();
        for (const char mark : row.at(0).get<std::string>())
            step.done.push_back(mark == '1');
        step.failedRuns = decodeRuns(row.at(1));
        step.checkpoints = decodeMap<std::string>(row.at(2));
        // Earlier releases record no crashes.
        if (row.size() > 3)
            decodeCrashes(row.at(3), step);
        if (row.size() > 4)
            step.starts = decodeStarts(row.at(4));
    }
    return progress;
}

Json encode(const HolderRecord &record)
{
    return Json::array({encode(record.process), encode(record.peers), record.generation,
                        encode(record.processors)});
}

HolderRecord decodeHolder(const Json &json)
{
    return {decodeProcess(json.at(0)), decodeAddress(json.at(1)), json.at(2).get<std::uint64_t>(),
            json.size() > 3 ? decodeQuantity<Millicores>(json.at(3)) : Millicores()};
}

Json encode(const CommitSequenceRecord &record)
{
    return Json::array({encode(record.process), record.number});
}

Json encode(const RosterRecord &record)
{
    Json json = Json::array();
    for (const WorkerId &worker : record.workers)
        json.push_back(worker.value());
    return json;
}

RosterRecord decodeRoster(const Json &json)
{
    RosterRecord record;
    for (const Json &worker : json)
        record.workers.push_back(decodeName<WorkerId>(worker));
    return record;
}

Json encode(const ClosedWorkersRecord &record)
{
    Json json = Json::array();
    for (const auto &[worker, jobs] : record.workers) {
        Json names = Json::array();
        for (const JobId &job : jobs)
            names.push_back(job.value());
        json.push_back(Json::array({worker.value(), std::move(names)}));
    }
    return json;
}

ClosedWorkersRecord decodeClosedWorkers(const Json &json)
{
    ClosedWorkersRecord record;
    for (const Json &row : json) {
        std::set<JobId> &jobs = record.workers[decodeName<WorkerId>(row.at(0))];
        for (const Json &job : row.at(1))
            jobs.insert(decodeName<JobId>(job));
    }
    return record;
}

Json encode(const StartLogSegment &segment)
{
    Json starts = Json::array();
    std::map<WorkerId, Address> addresses;
    for (const LoggedStart &start : segment.starts) {
        if (start.address != Address())
            addresses.insert_or_assign(start.worker, start.address);
        starts.push_back(
                Json::array({start.task.job.value(), start.task.occurrence.value(),
                             start.task.step.value(), start.task.index.value(), start.run.value(),
                             start.worker.value(), start.incarnation.value(), start.hasEnded}));
    }
    Json addressRows = Json::array();
    for (const auto &[worker, address] : addresses)
        addressRows.push_back(Json::array({worker.value(), encode(address)}));
    return Json::array({segment.number, std::move(starts), std::move(addressRows)});
}

StartLogSegment decodeStartLog(const Json &json)
{
    StartLogSegment segment;
    segment.number = json.at(0).get<std::uint64_t>();
    std::map<WorkerId, Address> addresses;
    if (json.size() > 2) {
        for (const Json &row : json.at(2))
            addresses.emplace(decodeName<WorkerId>(row.at(0)), decodeAddress(row.at(1)));
    }
    for (const Json &row : json.at(1)) {
        segment.starts.push_back(
                {{decodeName<JobId>(row.at(0)), decodeNumber<Occurrence>(row.at(1)),
                  decodeNumber<StepIndex>(row.at(2)), decodeNumber<TaskIndex>(row.at(3))},
                 decodeNumber<RunNumber>(row.at(4)),
                 decodeName<WorkerId>(row.at(5)),
                 decodeNumber<WorkerIncarnation>(row.at(6)),
                 row.at(7).get<bool>()});
        LoggedStart &start = segment.starts.back();
        if (const auto found = addresses.find(start.worker); found != addresses.end())
            start.address = found->second;
    }
    return segment;
}

Json encode(const CancelRecord &record)
{
    return record.at.count();
}

JobState decodeState(const Json &json)
{
    const auto state = json.get<unsigned>();
    if (state > static_cast<unsigned>(JobState::Cancelled))
        throw std::out_of_range("unknown job state");
    return static_cast<JobState>(state);
}

Json encode(const JobResult &result)
{
    return Json::array({static_cast<unsigned>(result.state), result.endedAt.count()});
}

// std::visit needs an overload for every alternative of RecordValue, but this codec never writes
// the following ones: the first two hold no record, and other systems write the configuration and
// the list of workers to the store, in an encoding that is in the platform adapter.
Json encode(const std::monostate & /*none*/)
{
    return nullptr;
}
Json encode(const Malformed & /*none*/)
{
    return nullptr;
}
Json encode(const CellConfiguration & /*configuration*/)
{
    return nullptr;
}
Json encode(const WorkerEntry & /*entry*/)
{
    return nullptr;
}

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
                        std::move(body), request.timeout.value_or(Milliseconds()).count()});
}

Json encode(const PeerCallerAnswer &message)
{
    const CallerAnswer &answer = message.answer;
    return Json::array({answer.id.value(), static_cast<unsigned>(answer.outcome),
                        static_cast<unsigned>(answer.state), answer.queuedJobs,
                        answer.retryAfter.count()});
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
    return {std::move(request)};
}

PeerCallerAnswer decodeCallerAnswer(const Json &json)
{
    CallerAnswer answer;
    answer.id = decodeNumber<CallerRequestId>(json.at(0));
    const auto outcome = json.at(1).get<unsigned>();
    if (outcome > static_cast<unsigned>(CallerOutcome::Unknown))
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
    default:
        throw std::out_of_range("unknown message type");
    }
}

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

RecordValue decodeRecordBody(RecordType type, const Json &json)
{
    switch (type) {
    case RecordType::Holder:
    case RecordType::HolderLease:
        return decodeHolder(json);
    case RecordType::CommitSequence:
    case RecordType::FurtherSequences:
        return CommitSequenceRecord {decodeProcess(json.at(0)), json.at(1).get<std::uint64_t>()};
    case RecordType::Roster:
        return decodeRoster(json);
    case RecordType::ClosedWorkers:
        return decodeClosedWorkers(json);
    case RecordType::Jobs:
        return decodeJob(json);
    case RecordType::Cancels:
        return CancelRecord {decodeQuantity<WallTime>(json)};
    case RecordType::Progress:
        return decodeProgress(json);
    case RecordType::StartLog:
        return decodeStartLog(json);
    case RecordType::Results:
        return JobResult {decodeState(json.at(0)), decodeQuantity<WallTime>(json.at(1))};
    default:
        return Malformed {};
    }
}

/// Incremented with every change of the frame format, so that two releases do not misinterpret each
/// other's frames.
constexpr unsigned frameVersion = 1;

} // namespace

std::string encodeRecord(const RecordValue &value)
{
    return toBytes(std::visit([](const auto &record) { return encode(record); }, value));
}

RecordValue decodeRecord(RecordType type, std::string_view bytes)
{
    const auto decode = [&]() -> Result<RecordValue> {
        // from_cbor() is recursive, so the nesting depth is checked first.
        BOOST_LEAF_CHECK(checkCbor(bytes));
        return decodeRecordBody(type, Json::from_cbor(bytes.begin(), bytes.end()));
    };
    try {
        return recoverFrom(decode, [](const Error &error) -> RecordValue {
            return Malformed {error.message};
        });
    } catch (const std::exception &error) {
        return Malformed {error.what()};
    }
}

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
