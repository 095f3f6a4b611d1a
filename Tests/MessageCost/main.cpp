#include "platform/PlatformProtocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <new>

namespace {

using namespace caraway;
using namespace caraway::cell;
using platform::PlatformProtocol;

std::uint64_t allocations = 0;

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

constexpr int runningRows = 64;
constexpr int completedRows = 3;
constexpr int watchedItems = 16;

TaskKey task(std::uint64_t index)
{
    return {JobId("5c0e7a21d94b36f8"), Occurrence(0), StepIndex(1), TaskIndex(index)};
}

WorkerRequest request(decltype(WorkerRequest::command) command)
{
    return {WorkerId("i-009b63ad"), {"10.128.1.15", 8080}, FencingToken(7), std::move(command)};
}

WorkerStart start()
{
    const std::string payload(400, 'p');
    return {task(17), RunNumber(4097), payload, WorkerTime(486'000), "00000bb87a21d94b", {}};
}

std::string heartbeatReply(int running, int completed)
{
    std::string body = R"({"born":1764903600000,"clockMs":482113,"finished":[)";
    for (int i = 0; i < completed; ++i) {
        body += fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.1.{}",4097,"done",""])", i == 0 ? "" : ",",
                            58 + i, i);
    }
    body += R"(],"running":[)";
    for (int i = 0; i < running; ++i) {
        body += fmt::format(R"({}["5c0e7a21d94b36f8.0.1.{}",4097,"00000bb87a21d94b",{},1.25])",
                            i == 0 ? "" : ",", i, i % 100);
    }
    return body + "]}";
}

HttpResponse answered(std::string body)
{
    return {HttpOutcome::Answered, 200, std::move(body)};
}

/// A commit of as many cancellations as a watch then reports.
StoreCommit commit()
{
    StoreCommit commit;
    for (int i = 0; i < watchedItems; ++i) {
        const RecordKey key {RecordType::Cancels, fmt::format("5c0e7a21d94b36{:02x}", i)};
        commit.require(key, Revision());
        commit.write(key, CancelRecord {});
    }
    return commit;
}

std::string watchReply()
{
    std::string body = R"({"at":4711,"events":[)";
    for (int i = 0; i < watchedItems; ++i) {
        // The value is a worker's entry, which workers write at each heartbeat.
        body += fmt::format(
                R"({}{{"created":12,"key":"servers/i-009b63{:02x}","lease":0,"revision":{},)"
                R"("value":"eyJhZGRyZXNzIjoiMTAuMTI4LjEuNDI6ODA4MCIsImJvcm4iOjE3NjQ5MDM2MDAwMDAsImNhcGFjaXR5Ijp7ImNwdSI6NjQwMDAsImdwdXMiOjAsIm1lbU1iIjoyNjIxNDR9LCJjbG9ja01zIjo0ODIxMTMsImxhYmVscyI6WyJrMSIsInIxLTMiXSwic2VydmljZSI6InMxIiwic3RhdGUiOiJyZWFkeSIsInpvbmUiOiJ6MSJ9"}})",
                i == 0 ? "" : ",", i, 4000 + i);
    }
    return body + "]}";
}

/// Prints the least cost of a call among several rounds of them.
void measure(const char *name, std::size_t bytes, const std::function<void()> &call)
{
    constexpr int rounds = 15;
    constexpr int calls = 400;
    double nanoseconds = 0;
    std::uint64_t allocated = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::uint64_t allocatedBefore = allocations;
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i)
            call();
        const std::chrono::duration<double, std::nano> taken
                = std::chrono::steady_clock::now() - begin;
        const double each = taken.count() / calls;
        nanoseconds = round == 0 ? each : std::min(nanoseconds, each);
        allocated = (allocations - allocatedBefore) / calls;
    }
    fmt::print("{:40} {:6} bytes {:8.0f} ns {:6} allocations\n", name, bytes, nanoseconds,
               allocated);
}

void measureEncoding(const char *name, const WorkerRequest &message)
{
    const PlatformProtocol protocol;
    measure(name, protocol.encodeWorker(message).body.size(),
            [&] { protocol.encodeWorker(message); });
}

void measureDecoding(const char *name, const WorkerRequest &message, std::string body)
{
    const PlatformProtocol protocol;
    HttpResponse response = answered(std::move(body));
    measure(name, response.body.size(),
            [&] { protocol.decodeWorker(message, static_cast<HttpResponse &&>(response)); });
}

void measureStore()
{
    const PlatformProtocol protocol;
    const StoreRequest transaction = commit();
    measure("encode a commit of 16 records", protocol.encodeStore(transaction).body.size(),
            [&] { protocol.encodeStore(transaction); });
    HttpResponse committed = answered(R"({"revision":4711})");
    measure("decode the reply to a commit", committed.body.size(),
            [&] { protocol.decodeStore(transaction, static_cast<HttpResponse &&>(committed)); });
    const StoreRequest watch = StoreWatch {RecordType::Workers, Revision(4), Milliseconds(1000)};
    HttpResponse changes = answered(watchReply());
    measure("decode a watch of 16 worker entries", changes.body.size(),
            [&] { protocol.decodeStore(watch, static_cast<HttpResponse &&>(changes)); });
}

} // namespace

/// Prints time and allocations per encoded and decoded message.
int main()
{
    const WorkerRequest heartbeat = request(
            WorkerHeartbeat {CompletionNumber(57), WorkerTime(486'000), Milliseconds(1000)});
    measureEncoding("encode a heartbeat", heartbeat);
    measureEncoding("encode a start", request(start()));
    measureEncoding("encode a stop", request(WorkerStop {task(17), RunNumber(4097)}));
    measureDecoding("decode a heartbeat reply without runs", heartbeat, heartbeatReply(0, 0));
    measureDecoding("decode a heartbeat reply with 64 runs", heartbeat,
                    heartbeatReply(runningRows, completedRows));
    measureDecoding("decode a start reply", request(start()),
                    R"({"born":1764903600000,"clockMs":482113})");
    measureStore();
    return 0;
}
