#include "Messages/CellJson.h"

namespace caraway::cell {

namespace {

using cell::encode;

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

/// The address and the timeout, which records of jobs lack, come after the other fields.
Json encodeConfigured(const Queue &queue)
{
    Json json = encode(queue);
    json.insert(json.end(), {queue.host, queue.prefix, queue.timeout.count(), queue.isPublic});
    return json;
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
    if (json.size() > 10) {
        queue.host = json.at(7).get<std::string>();
        queue.prefix = json.at(8).get<std::string>();
        queue.timeout = decodeQuantity<Milliseconds>(json.at(9));
        queue.isPublic = json.at(10).get<bool>();
    }
    return queue;
}

Json encode(const ClientAccount &account)
{
    Json keys = Json::array();
    for (const AccountKey &key : account.keys)
        keys.push_back(key.value());
    return Json::array({account.id.value(), std::move(keys), account.weight.count(),
                        account.cap.processors.count(), account.cap.memory.count(),
                        account.cap.accelerators.count()});
}

ClientAccount decodeAccount(const Json &json)
{
    ClientAccount account;
    account.id = decodeName<AccountId>(json.at(0));
    for (const Json &key : json.at(1))
        account.keys.push_back(decodeName<AccountKey>(key));
    account.weight = decodeQuantity<AccountWeight>(json.at(2));
    account.cap.processors = decodeQuantity<Millicores>(json.at(3));
    account.cap.memory = decodeQuantity<Bytes>(json.at(4));
    account.cap.accelerators = decodeQuantity<Accelerators>(json.at(5));
    return account;
}

template<class Name>
Json encodeNames(const std::set<Name> &names)
{
    Json json = Json::array();
    for (const Name &name : names)
        json.push_back(name.value());
    return json;
}

std::set<UpstreamId> decodeUpstreams(const Json &json)
{
    std::set<UpstreamId> upstreams;
    for (const Json &upstream : json)
        upstreams.insert(decodeName<UpstreamId>(upstream));
    return upstreams;
}

} // namespace

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
Json encode(const AcceptedJob &job)
{
    Json steps = Json::array();
    for (const StepSpec &step : job.spec.steps)
        steps.push_back(encode(step));
    const Schedule &schedule = job.spec.schedule;
    Json json = Json::array({job.spec.id.value(), job.spec.payload, std::move(steps), schedule.runs,
                             schedule.firstDue.count(), schedule.interval.count(),
                             encode(job.queue), job.generation, job.acceptedAt.count()});
    if (!job.account.isEmpty())
        json.push_back(job.account.value());
    return json;
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
    // Earlier releases know no accounts.
    if (json.size() > 9)
        job.account = decodeName<AccountId>(json.at(9));
    return job;
}

Json encode(const CellConfiguration &configuration)
{
    Json queues = Json::array();
    for (const Queue &queue : configuration.queues)
        queues.push_back(encodeConfigured(queue));
    Json accounts = Json::array();
    for (const ClientAccount &account : configuration.accounts)
        accounts.push_back(encode(account));
    return Json::array({configuration.version.value(), std::move(queues),
                        encodeNames(configuration.upstreams),
                        encodeNames(configuration.upstreamsRejectingOverload),
                        configuration.hasAccounts, std::move(accounts)});
}

CellConfiguration decodeConfiguration(const Json &json)
{
    CellConfiguration configuration;
    configuration.version = decodeNumber<ConfigurationVersion>(json.at(0));
    for (const Json &queue : json.at(1))
        configuration.queues.push_back(decodeQueue(queue));
    configuration.upstreams = decodeUpstreams(json.at(2));
    configuration.upstreamsRejectingOverload = decodeUpstreams(json.at(3));
    configuration.hasAccounts = json.at(4).get<bool>();
    for (const Json &account : json.at(5))
        configuration.accounts.push_back(decodeAccount(account));
    return configuration;
}

JobState decodeState(const Json &json)
{
    const auto state = json.get<unsigned>();
    if (state > static_cast<unsigned>(JobState::Cancelled))
        throw std::out_of_range("unknown job state");
    return static_cast<JobState>(state);
}

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

} // namespace caraway::cell
