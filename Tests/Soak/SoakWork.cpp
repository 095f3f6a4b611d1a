#include "Soak/SoakWork.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace caraway::tests {

namespace {

using Json = nlohmann::json;

/// How long a member waits for the others.
constexpr Milliseconds gangTimeout {3000};
/// Gangs change on other workers at any time.
constexpr Milliseconds gangPollInterval {10};

/// The number behind the dot at \a position, from 1, in the name of a task.
std::size_t numberAt(const std::string &name, int position)
{
    std::size_t begin = 0;
    for (int i = 0; i < position; ++i)
        begin = name.find('.', begin) + 1;
    return std::stoul(name.substr(begin));
}

} // namespace

std::string SoakJobPlan::toSpec() const
{
    Json rows = Json::array();
    for (const Step &step : steps)
        rows.push_back({step.members, step.millicores});
    return Json {{"work", work.count()},
                 {"failures", failures},
                 {"ticket", needsTicket},
                 {"steps", rows}}
            .dump();
}

SoakJobPlan SoakJobPlan::fromSpec(const std::string &spec)
{
    const Json json = Json::parse(spec);
    SoakJobPlan plan;
    plan.work = Milliseconds(json.at("work").get<std::int64_t>());
    plan.failures = json.at("failures");
    plan.needsTicket = json.at("ticket");
    for (const Json &row : json.at("steps"))
        plan.steps.push_back({row.at(0), row.at(1)});
    return plan;
}

std::string soakStepNameOf(const SoakTaskId &task)
{
    return task.value().substr(0, task.value().rfind('.'));
}

std::size_t soakStepOf(const SoakTaskId &task)
{
    return numberAt(task.value(), 2);
}

std::size_t soakIndexOf(const SoakTaskId &task)
{
    return numberAt(task.value(), 3);
}

const SoakJobPlan::Step &SoakWork::stepOf(const Run &run)
{
    return run.plan.steps.at(soakStepOf(run.task));
}

std::string SoakWork::unitOf(const Run &run)
{
    return isGang(run) ? soakStepNameOf(run.task) : run.task.value();
}

SoakWork::Run SoakWork::begin(SoakTaskId task, SoakRunNumber number, SoakJobPlan plan)
{
    const std::lock_guard lock(mutex_);
    Run run {std::move(task), number, std::move(plan), soakNow(), false};
    const bool isFirstMember = !isGang(run) || soakIndexOf(run.task) == 0;
    run.fails = isFirstMember && failures_[unitOf(run)] < run.plan.failures;
    if (isGang(run)) {
        Gang &gang = gangs_[gangKeyOf(run)];
        gang.present.insert(soakIndexOf(run.task));
        const auto members = static_cast<std::size_t>(stepOf(run).members);
        if (!gang.completeSince && gang.present.size() == members)
            gang.completeSince = soakNow();
    }
    return run;
}

std::optional<Milliseconds> SoakWork::workingSince(const Run &run) const
{
    return isGang(run) ? gangs_.at(gangKeyOf(run)).completeSince : std::optional(run.startedAt);
}

std::optional<std::string> SoakWork::endOf(const Run &run) const
{
    const std::lock_guard lock(mutex_);
    const Milliseconds now = soakNow();
    const std::optional<Milliseconds> since = workingSince(run);
    if (since && now >= *since + run.plan.work && !run.fails)
        return "done";
    if (since && run.fails && now >= *since + run.plan.work / 2)
        return "failed";
    if (isGang(run) && gangs_.at(gangKeyOf(run)).isBroken)
        return "broken";
    return !since && now >= run.startedAt + gangTimeout ? std::optional<std::string>("alone")
                                                        : std::nullopt;
}

Milliseconds SoakWork::nextChange(const Run &run) const
{
    if (isGang(run))
        return soakNow() + gangPollInterval;
    return run.startedAt + (run.fails ? run.plan.work / 2 : run.plan.work);
}

void SoakWork::end(const Run &run, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    if (how == "failed")
        ++failures_[unitOf(run)];
    if (!isGang(run) || how == "done")
        return;
    Gang &gang = gangs_[gangKeyOf(run)];
    gang.present.erase(soakIndexOf(run.task));
    // The members end as done together.
    const bool isDone = gang.completeSince && soakNow() >= *gang.completeSince + run.plan.work;
    gang.isBroken = gang.isBroken || !isDone;
}

} // namespace caraway::tests
