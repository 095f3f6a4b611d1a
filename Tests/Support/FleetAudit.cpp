#include "Support/FleetAudit.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>

namespace caraway::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t leavingLimitMs = 2000;
constexpr std::size_t maxWorkerConnections = 64;
constexpr auto presetPollInterval = 100ms;
constexpr int presetPollLimitMs = 300;
constexpr auto presetKey = "config/preset-in-force";

std::string describe(const ToldCaller &told)
{
    return fmt::format("{} ({}): {}", told.job.name,
                       told.job.idempotent ? "idempotent" : "non-idempotent",
                       told.answer.body.dump().substr(0, 300));
}

std::string statesOf(const std::vector<ToldCaller> &all)
{
    std::string text;
    for (const ToldCaller &told : all)
        text += fmt::format(" {}:{}", told.atMs % 1'000'000, told.state);
    return text;
}

} // namespace

FleetAudit::FleetAudit(TestFleet &fleet, const CallerLog &callers)
    : fleet_(fleet)
    , callers_(callers)
    , watcher_([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            watchPresets();
            std::this_thread::sleep_for(presetPollInterval);
        }
    })
{
}

FleetAudit::~FleetAudit() = default;

void FleetAudit::watchPresets()
{
    for (int entry = 0; entry < fleet_.shape().entries; ++entry) {
        const HttpAnswer answer = fleet_.get(entry, "/v1/preset-in-force", presetPollLimitMs);
        if (answer.status != 200)
            continue;
        const auto revision = answer.body["revision"].get<std::int64_t>();
        const std::lock_guard lock(mutex_);
        if (revision < revisions_[entry])
            presetFindings_.push_back(
                    fmt::format("preset went back: {} showed revision {} after {}",
                                fleet_.entryName(entry), revision, revisions_[entry]));
        revisions_[entry] = std::max(revisions_[entry], revision);
    }
}

std::int64_t FleetAudit::revisionShownBy(int entry) const
{
    const std::lock_guard lock(mutex_);
    const auto found = revisions_.find(entry);
    return found == revisions_.end() ? 0 : found->second;
}

std::vector<std::string> FleetAudit::findings() const
{
    std::vector<std::string> found = fleet_.violations();
    checkAnswers(found);
    checkEnds(found);
    checkStarts(found);
    checkLeaving(found);
    checkConnections(found);
    checkStoreHistory(found);
    const std::lock_guard lock(mutex_);
    found.insert(found.end(), presetFindings_.begin(), presetFindings_.end());
    return found;
}

std::string FleetAudit::report() const
{
    std::string text;
    for (const std::string &finding : findings())
        text += finding + '\n';
    return text;
}

void FleetAudit::checkAnswers(std::vector<std::string> &found) const
{
    for (const ToldCaller &told : callers_.told()) {
        if (told.state != "done")
            continue;
        const nlohmann::json &answers = told.answer.body["answers"];
        const std::string expected = told.job.expectedContent();
        std::set<int> tasks;
        for (const nlohmann::json &answer : answers) {
            if (answer["content"] == expected)
                tasks.insert(answer["task"].get<int>());
        }
        const auto count = static_cast<std::size_t>(told.job.tasks);
        if (tasks.size() != count || answers.size() != count
            || told.answer.body["name"] != told.job.name)
            found.push_back("not the whole answer: " + describe(told));
    }
}

void FleetAudit::checkEnds(std::vector<std::string> &found) const
{
    std::map<std::string, std::vector<ToldCaller>> byJob;
    std::vector<ToldCaller> everything = callers_.told();
    for (ToldCaller &told : everything)
        byJob[told.job.name].push_back(std::move(told));
    for (const auto &job : byJob) {
        const std::string &name = job.first;
        const std::vector<ToldCaller> &all = job.second;
        const auto wasTold = [&](const std::string &state) {
            return std::ranges::find(all, state, &ToldCaller::state) != all.end();
        };
        const bool allRefused = std::ranges::all_of(
                all, [](const ToldCaller &told) { return told.state == "refused"; });
        const bool mayBeUnknown = !all.front().job.idempotent && wasTold("unknown");
        const bool ended = std::ranges::any_of(all, isFinal, &ToldCaller::state);
        if (!ended && !allRefused && !mayBeUnknown)
            found.push_back("no end: " + describe(all.back()) + statesOf(all));
        if (allRefused && fleet_.startsOf(name) > 0)
            found.push_back("refused, but ran: " + describe(all.back()));
    }
}

void FleetAudit::checkStarts(std::vector<std::string> &found) const
{
    std::map<std::string, std::map<int, int>> starts;
    std::map<std::string, std::set<int>> succeeded;
    for (const nlohmann::json &line : fleet_.records()) {
        if (line["what"] == "start")
            ++starts[line["job"]][line["task"]];
        if (line["what"] == "succeeded")
            succeeded[line["job"]].insert(line["task"].get<int>());
    }
    std::set<std::string> seen;
    for (const ToldCaller &told : callers_.told()) {
        const std::string &name = told.job.name;
        if (told.state == "not_run" && starts.contains(name))
            found.push_back("told not run, but ran: " + describe(told));
        if (told.state == "done"
            && succeeded[name].size() != static_cast<std::size_t>(told.job.tasks))
            found.push_back("told done, but not all succeeded: " + describe(told));
        const auto started = starts.find(name);
        if (told.job.idempotent || started == starts.end() || !seen.insert(name).second)
            continue;
        for (const auto &[task, count] : started->second) {
            if (count > 1)
                found.push_back(fmt::format("non-idempotent, started {} times: {}", count, name));
        }
    }
}

void FleetAudit::checkLeaving(std::vector<std::string> &found) const
{
    for (const nlohmann::json &line : fleet_.records()) {
        const auto left = leaving_.find(line["worker"]);
        if (left == leaving_.end() || line["what"] != "start")
            continue;
        const auto &[from, until] = left->second;
        const auto at = line["at_ms"].get<std::int64_t>();
        if (at > from + leavingLimitMs && (until == 0 || at < until))
            found.push_back("started on a leaving worker: " + line.dump());
    }
}

void FleetAudit::checkConnections(std::vector<std::string> &found) const
{
    const nlohmann::json links = fleet_.links();
    for (const auto &[link, counts] : links.items()) {
        if (link.starts_with("worker-") && counts["most_connections"] > maxWorkerConnections)
            found.push_back("too many connections: " + link + " " + counts.dump());
    }
}

void FleetAudit::checkStoreHistory(std::vector<std::string> &found) const
{
    std::int64_t last = 0;
    std::map<std::string, std::int64_t> epochs;
    const nlohmann::json history = fleet_.storeHistory();
    for (const nlohmann::json &write : history) {
        if (write["key"] == presetKey) {
            if (write["revision"] <= last)
                found.push_back("the record in force went back: " + write.dump());
            last = write["revision"].get<std::int64_t>();
        }
        const std::string key = write["key"];
        if (!key.starts_with("shards/"))
            continue;
        const nlohmann::json value = nlohmann::json::parse(write["value"].get<std::string>());
        const auto epoch = value.value("epoch", std::int64_t(0));
        if (epoch < epochs[key])
            found.push_back("the epoch went back: " + write.dump());
        epochs[key] = epoch;
    }
}

} // namespace caraway::tests
