#include "Messages/CellCodec.h"

#include "Core/Error.h"
#include "Messages/CborCheck.h"
#include "Messages/CellJson.h"

namespace caraway::cell {

namespace {

using cell::encode;

// Records are arrays with fields by position, because they are many and short. A field that a later
// release adds is appended; the decoder uses the default value when it is missing.

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
Json encode(const JobResult &result)
{
    return Json::array({static_cast<unsigned>(result.state), result.endedAt.count()});
}

// std::visit needs an overload for every alternative of RecordValue, but this codec never writes
// the following ones, nor the configuration: the first two hold no record, and other systems write
// the configuration and the list of workers to the store, in an encoding that is in the platform
// adapter.
Json encode(const std::monostate & /*none*/)
{
    return nullptr;
}
Json encode(const Malformed & /*none*/)
{
    return nullptr;
}
Json encode(const WorkerEntry & /*entry*/)
{
    return nullptr;
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
} // namespace caraway::cell
