#include "cases.h"

namespace review {

namespace {

constexpr int workers = 8;
constexpr int crashes = 7;
constexpr std::int64_t taskCpu = 4'000;
const std::string sound = "00000000000000c5";

/// Waits until the worker has left another start unanswered; false when it has not in time.
bool awaitHeldUpStart(const Worker &worker, int heldUpBefore)
{
    constexpr std::int64_t patience = 6000;
    const std::int64_t until = nowMs() + patience;
    while (worker.heldUpStarts() <= heldUpBefore) {
        if (nowMs() > until)
            return false;
        sleepMs(10);
    }
    return true;
}

} // namespace

/// The only worker that may run a task leaves its start unanswered, and crashes before it would
/// carry it out; up to seven times. Judges LOST: a job is shown as `failed` without cause.
int startsNeverArrive(Record &record, bool hasTrouble)
{
    constexpr std::int64_t awayMs = 3000;
    constexpr std::int64_t patience = 20'000;
    Fleet fleet(record, 3, Json::array({route("merge", 2, 4.0, 3000, 4)}));
    for (int i = 0; i < workers; ++i)
        fleet.addWorker("i-7f3a950" + std::to_string(i),
                        {64'000, 262'144, 0, {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 4)}});
    if (!start(fleet))
        return 2;
    Worker &only = *fleet.workers().front();
    if (hasTrouble)
        only.holdUpStartsOf(sound);
    Json job = smallJob(taskCpu);
    job["steps"][0]["requiredLabel"] = "b";
    if (!fleet.submit("merge", sound, job))
        return 2;
    for (int i = 0; hasTrouble && i < crashes; ++i) {
        if (!awaitHeldUpStart(only, i))
            break;
        sleepMs(1000);
        only.crash();
        sleepMs(awayMs);
        only.restart();
    }
    only.holdUpStartsOf("");
    const std::int64_t until = nowMs() + patience;
    std::string state;
    while (nowMs() < until && state != "completed" && state != "failed") {
        sleepMs(1000);
        state = fleet.ask(0, "merge", sound).state;
    }
    record.write("the job is shown as " + state + "; its task has begun "
                 + std::to_string(fleet.journal().runsOf(sound).size()) + " times");
    return state == "failed" ? 1 : state == "completed" ? 0 : 2;
}

} // namespace review
