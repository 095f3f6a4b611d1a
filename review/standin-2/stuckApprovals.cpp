#include "cases.h"

namespace review {

namespace {

constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t spanMs = 3000;
constexpr int workers = 8;
constexpr int largeTasks = 27;
constexpr std::int64_t largeCpu = 18'000;
constexpr std::int64_t smallCpu = 4'000;
constexpr std::int64_t decisionMs = 46;
const std::string large = "00000000000000b2";
const std::string small = "00000000000000c2";
const std::string onlyForLarge = "i-7f3a9200";

} // namespace

/// LOST, as in reservedForGang(). The policy allows the tasks of one job on one worker only, which
/// is lost for good; a job of another queue may run on every other worker.
int stuckApprovals(Record &record, bool hasTrouble)
{
    Json compile = route("compile", 1, 2.2, 10'000, 4);
    Json merge = route("merge", 2, 4.0, 3000, 3);
    for (Json *queue : {&compile, &merge})
        (*queue)["advice"] = {{"decisionMs", decisionMs}, {"perWorkerMs", 0.66}, {"validityMs", 2500}};
    Fleet fleet(record, 3, Json::array({compile, merge}));
    fleet.setAdvice([&record](std::size_t, const SoakRequest &request) -> SoakResponse {
        sleepMs(decisionMs);
        const Json body = Json::parse(request.body);
        const std::string step = body.at("step");
        Json approved = Json::array();
        for (const std::string worker : body.at("workers")) {
            if (!step.starts_with(large) || worker == onlyForLarge)
                approved.push_back({worker, "ticket-" + step + "-" + worker});
        }
        record.write("advice: step " + step + " workers " + body.at("workers").dump() + " -> "
                     + std::to_string(approved.size()) + " approved");
        return {200, Json {{"approved", approved}}.dump()};
    });
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a920" + std::to_string(i),
                        {64'000, 262'144, 0, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)}});
    fleet.startInstances();
    if (!fleet.awaitReady(15'000))
        return 2;
    sleepMs(3000);
    if (hasTrouble)
        fleet.workers().front()->crash();
    sleepMs(10'000);
    const bool hasLarge = fleet.submit("compile", large,
                                       {{"spec", "work=2000 cpu=" + std::to_string(largeCpu)},
                                        {"steps",
                                         {{{"count", largeTasks},
                                           {"cpu", largeCpu},
                                           {"memMb", 1024},
                                           {"estimateMs", 2000}}}}});
    sleepMs(1000);
    const bool hasSmall = fleet.submit("merge", small,
                                       {{"spec", "work=2000 cpu=" + std::to_string(smallCpu)},
                                        {"steps",
                                         {{{"count", 1},
                                           {"cpu", smallCpu},
                                           {"memMb", 1024},
                                           {"estimateMs", 2000}}}}});
    if (!hasLarge || !hasSmall)
        return 2;
    const std::int64_t trafficEnd = nowMs();
    record.write("end of the traffic");
    while (nowMs() < trafficEnd + finishMs) {
        sleepMs(2000);
        fleet.ask(0, "merge", small);
    }
    std::int64_t brokenSince = 0;
    std::int64_t longest = 0;
    while (nowMs() < trafficEnd + finishMs + 45'000 && longest < 30'000) {
        std::int64_t room = 0;
        for (const auto &worker : fleet.workers()) {
            if (worker->isUp())
                room += std::max<std::int64_t>(
                        0, (worker->cpu() - fleet.usedOn(worker->id())) / smallCpu);
        }
        const bool hasRun = !fleet.journal().runsOf(small).empty();
        const bool isHalfFree = fleet.used() * 2 < fleet.capacity();
        if (hasRun)
            break;
        brokenSince = room < 2 || !isHalfFree ? 0 : brokenSince == 0 ? nowMs() : brokenSince;
        longest = std::max(longest, brokenSince == 0 ? 0 : nowMs() - brokenSince);
        sleepMs(100);
    }
    for (std::size_t i = 0; i < fleet.instances(); ++i)
        fleet.ask(i, "merge", small);
    record.write("in use " + std::to_string(fleet.used()) + " of "
                 + std::to_string(fleet.capacity()) + " millicores; the job had nothing running for "
                 + std::to_string(longest) + " ms of this span");
    return longest >= spanMs ? 1 : 0;
}

} // namespace review
