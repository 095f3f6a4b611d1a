#include "Soak/SoakAdvice.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway::tests {

namespace {

using Json = nlohmann::json;

constexpr std::size_t percent = 100;
constexpr std::size_t permittedPercent = 65;
constexpr std::size_t narrowPercent = 25;

} // namespace

SoakAdvice::SoakAdvice(int instances, Milliseconds decisionTime)
    : decisionTime_(decisionTime)
{
    for (int i = 0; i < instances; ++i)
        turns_.push_back(std::make_unique<std::mutex>());
}

SoakResponse SoakAdvice::handle(std::size_t instance, const SoakRequest &request)
{
    const std::lock_guard turn(*turns_.at(instance));
    soakSleep(decisionTime_);
    const Json body = Json::parse(request.body);
    const std::string step = body.at("step");
    Json approved = Json::array();
    const std::lock_guard lock(mutex_);
    for (const std::string worker : body.at("workers")) {
        if (!lives_.contains(worker) || !isPermitted(step, worker))
            continue;
        const std::string ticket = fmt::format("ticket-{}", ++lastTicket_);
        tickets_[ticket] = {subjectOf(step, worker), soakNow() + validity};
        approved.push_back({worker, ticket});
    }
    return {200, Json {{"approved", approved}}.dump()};
}

bool SoakAdvice::isNarrow(const std::string &step)
{
    return std::hash<std::string>()(step) % percent < narrowPercent;
}

void SoakAdvice::setLife(const WorkerId &worker, SoakIncarnation incarnation)
{
    const std::lock_guard lock(mutex_);
    lives_[worker.value()] = incarnation;
}

bool SoakAdvice::isValid(const std::string &ticket, const std::string &step,
                         const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    const auto found = tickets_.find(ticket);
    return found != tickets_.end() && found->second.first == subjectOf(step, worker.value())
            && soakNow() <= found->second.second;
}

void SoakAdvice::remove(const WorkerId &worker)
{
    const std::lock_guard lock(mutex_);
    lives_.erase(worker.value());
}

bool SoakAdvice::isPermitted(const std::string &step, const std::string &worker) const
{
    const auto rank
            = [&](const std::string &name) { return std::hash<std::string>()(step + "/" + name); };
    const auto first = std::ranges::min_element(lives_, {},
                                                [&](const auto &life) { return rank(life.first); });
    const bool isWide = !hasNarrowSteps_ || !isNarrow(step);
    return (isWide && rank(worker) % percent < permittedPercent) || first->first == worker;
}

std::string SoakAdvice::subjectOf(const std::string &step, const std::string &worker) const
{
    const auto life = lives_.find(worker);
    return fmt::format("{} {} {}", step, worker, life == lives_.end() ? 0 : life->second.value());
}

} // namespace caraway::tests
