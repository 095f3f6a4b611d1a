#include "Support/CallerLog.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <thread>

namespace caraway::tests {

namespace {

using namespace std::chrono_literals;

constexpr int longestWaitMs = 2000;
constexpr int answerRepeats = 200;
constexpr auto pauseBetweenQuestions = 100ms;

/// Errors that turn this one request away; they say nothing of earlier ones for the same job.
bool isRefusal(const std::string &errorKind)
{
    static const std::set<std::string> kinds
            = {"never_fits",  "queue_full",   "would_miss_deadline", "not_ready",  "stopping",
               "unavailable", "unknown_kind", "unknown_team",        "name_in_use"};
    return kinds.contains(errorKind);
}

std::string stateOf(const HttpAnswer &answer)
{
    if (!answer.body.is_object())
        return "";
    const std::string kind
            = answer.body.value("error", nlohmann::json::object()).value("kind", std::string());
    if (kind == "unknown_job")
        return "";
    if (answer.body.contains("state"))
        return answer.body["state"].get<std::string>();
    return isRefusal(kind) ? "refused" : "";
}

} // namespace

bool isFinal(const std::string &state)
{
    return state == "done" || state == "failed" || state == "not_run" || state == "cancelled";
}

std::int64_t wallMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string PlannedJob::expectedContent() const
{
    std::string content;
    for (int i = 0; i < answerRepeats; ++i)
        content += name + '/' + std::to_string(i) + ';';
    return content;
}

nlohmann::json PlannedJob::toJson() const
{
    const nlohmann::json payload = {{"run_ms", runMs}, {"answer", expectedContent()}};
    return TestFleet::makeJob(name,
                              {{"tasks", tasks},
                               {"gang", gang},
                               {"idempotent", idempotent},
                               {"durability", detached ? "detached" : "attached"},
                               {"payload", payload.dump()}});
}

std::string CallerLog::note(const PlannedJob &job, HttpAnswer answer)
{
    std::string state = stateOf(answer);
    const std::lock_guard lock(mutex_);
    told_.push_back({job, state, std::move(answer), wallMs()});
    return state;
}

std::string CallerLog::submit(int entry, const PlannedJob &job, int waitMs)
{
    return note(job, fleet_.run(entry, job.toJson(), waitMs));
}

std::string CallerLog::ask(int entry, const PlannedJob &job, int waitMs)
{
    const std::string path = "/v1/jobs/" + job.name + "?wait_ms=" + std::to_string(waitMs);
    return note(job, fleet_.get(entry, path));
}

void CallerLog::cancel(int entry, const PlannedJob &job)
{
    note(job, fleet_.cancel(entry, job.name));
}

std::string CallerLog::runToTheEnd(int entry, const PlannedJob &job, int limitMs)
{
    const std::int64_t end = wallMs() + limitMs;
    const bool cancels = job.cancelAfterMs > 0;
    std::string state = submit(entry, job, cancels ? 0 : longestWaitMs);
    if (cancels && !isFinal(state)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(job.cancelAfterMs));
        cancel(entry, job);
    }
    if (state == "refused")
        return state;
    bool wasAccepted = state == "queued" || state == "running";
    while (!isFinal(state) && wallMs() < end) {
        std::this_thread::sleep_for(pauseBetweenQuestions);
        entry = (entry + 1) % fleet_.shape().entries;
        state = wasAccepted ? ask(entry, job, longestWaitMs) : submit(entry, job, longestWaitMs);
        // A job that nobody knows any more is submitted again under its name.
        wasAccepted = state == "queued" || state == "running";
    }
    return state;
}

std::vector<ToldCaller> CallerLog::told() const
{
    const std::lock_guard lock(mutex_);
    return told_;
}

std::size_t CallerLog::jobCount() const
{
    std::set<std::string> names;
    for (const ToldCaller &told : told())
        names.insert(told.job.name);
    return names.size();
}

} // namespace caraway::tests
