#include "cases.h"

namespace review {

namespace {

constexpr int workers = 8;
constexpr int largeTasks = 27;
constexpr std::int64_t largeCpu = 18'000;
constexpr std::int64_t smallCpu = 4'000;
constexpr std::int64_t decisionMs = 46;
constexpr std::int64_t lookMs = 30'000;
const std::string large = "00000000000000b2";
const std::string small = "00000000000000c2";
const std::string onlyForLarge = "i-7f3a9200";

HttpResponse advise(Record &record, const HttpRequest &request)
{
    sleepMs(decisionMs);
    const Json body = Json::parse(request.body);
    const std::string step = body.at("step");
    Json approved = Json::array();
    for (const std::string worker : body.at("workers")) {
        if (!step.starts_with(large) || worker == onlyForLarge)
            approved.push_back({worker, std::string("ticket-").append(step).append(worker)});
    }
    record.write("advice: step " + step + " workers " + body.at("workers").dump() + " -> "
                 + std::to_string(approved.size()) + " approved");
    return {200, Json {{"approved", approved}}.dump()};
}

Json routes()
{
    Json compile = route("compile", 1, 2.2, 10'000, 4);
    Json merge = route("merge", 2, 4.0, 3000, 3);
    const Json advice {{"decisionMs", decisionMs}, {"perWorkerMs", 0.66}, {"validityMs", 2500}};
    compile["advice"] = merge["advice"] = advice;
    return Json::array({std::move(compile), std::move(merge)});
}

bool submitLarge(Fleet &fleet)
{
    Json step {{"count", largeTasks}, {"cpu", largeCpu}, {"memMb", 1024}, {"estimateMs", 2000}};
    return fleet.submit("compile", large,
                        {{"spec", "work=2000 cpu=" + std::to_string(largeCpu)},
                         {"steps", Json::array({std::move(step)})}});
}

} // namespace

/// The policy allows the tasks of one job on one worker only, which is lost for
/// good; a job of another queue may run on every worker.
int stuckApprovals(Record &record, bool hasTrouble)
{
    constexpr std::int64_t settleMs = 10'000;
    Fleet fleet(record, 3, routes());
    fleet.setAdvice([&record](const HttpRequest &request) { return advise(record, request); });
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a920" + std::to_string(i),
                        {64'000, 262'144, 0, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)}});
    if (!start(fleet))
        return 2;
    if (hasTrouble)
        fleet.workers().front()->crash();
    sleepMs(settleMs);
    if (!submitLarge(fleet))
        return 2;
    sleepMs(1000);
    if (!fleet.submit("merge", small, smallJob(smallCpu)))
        return 2;
    return judge(fleet, {"merge", small, smallCpu}, nowMs(), lookMs);
}

} // namespace review
