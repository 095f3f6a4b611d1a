#include "Decisions/Policy/PromisedWaitAdmission.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

namespace {

constexpr Milliseconds rateWindow(1000);
constexpr std::uint32_t fewestWindows = 3;
/// Weight of the latest window in the moving average.
constexpr double latestWeight = 0.3;
constexpr double leastStartsPerSecond = 0.01;
constexpr double millisecondsPerSecond = 1000;
constexpr Milliseconds retryAfterFullQueue(1000);
constexpr Milliseconds longestRetryAfter(60000);

} // namespace

std::optional<Refusal> PromisedWaitAdmission::refusalOf(const AdmissionQuestion &question) const
{
    const KindPolicy &policy = question.policy;
    if (question.waitingInKind + question.taskCount > policy.queueBound) {
        return Refusal {{ErrorKind::QueueFull,
                         fmt::format("The queue for kind {} is full. Submit again later.",
                                     policy.kind.value())},
                        retryAfterFullQueue};
    }
    const std::size_t left = policy.queueBound - question.waitingInKind;
    if (question.waitingOfTeam + question.taskCount > left) {
        return Refusal {{ErrorKind::QueueFull,
                         fmt::format("The team fills its part of the queue for kind {}. Submit "
                                     "again later.",
                                     policy.kind.value())},
                        retryAfterFullQueue};
    }
    const std::optional<Milliseconds> wait = expectedWait(question.kind, question.waitingInKind);
    if (wait && *wait > policy.promisedWait) {
        return Refusal {
                {ErrorKind::WouldMissDeadline,
                 fmt::format("Work of kind {} would wait about {} ms, longer than the {} "
                             "ms promised. Submit again later.",
                             policy.kind.value(), wait->count(), policy.promisedWait.count())},
                std::min(*wait - policy.promisedWait, longestRetryAfter)};
    }
    return std::nullopt;
}

std::optional<Milliseconds> PromisedWaitAdmission::expectedWait(KindIndex kind,
                                                                std::size_t waiting) const
{
    if (kind.value() >= rates_.size() || rates_[kind.value()].windowsSeen < fewestWindows)
        return std::nullopt;
    const double rate = std::max(rates_[kind.value()].startsPerSecond, leastStartsPerSecond);
    return Milliseconds(
            static_cast<std::int64_t>(static_cast<double>(waiting) / rate * millisecondsPerSecond));
}

void PromisedWaitAdmission::onStarted(KindIndex kind, std::size_t count)
{
    if (rates_.size() <= kind.value())
        rates_.resize(kind.value() + 1);
    rates_[kind.value()].startsInWindow += count;
}

void PromisedWaitAdmission::onRoundEnded(TimePoint now, KindIndex kind, std::size_t waiting)
{
    if (rates_.size() <= kind.value())
        rates_.resize(kind.value() + 1);
    StartRate &rate = rates_[kind.value()];
    if (waiting == 0) {
        // The rate was bounded by what came, so it says nothing about how long work waits.
        rate = {.windowBegan = now};
        return;
    }
    const Milliseconds length = now - rate.windowBegan;
    if (length < rateWindow)
        return;
    const double seconds = static_cast<double>(length.count()) / millisecondsPerSecond;
    const double latest = static_cast<double>(rate.startsInWindow) / seconds;
    rate.startsPerSecond = rate.windowsSeen == 0
            ? latest
            : latest * latestWeight + rate.startsPerSecond * (1 - latestWeight);
    ++rate.windowsSeen;
    rate.startsInWindow = 0;
    rate.windowBegan = now;
}

} // namespace caraway
