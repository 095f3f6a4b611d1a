#include "Decisions/Policy/PromisedWaitAdmission.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

namespace {

constexpr Milliseconds rateWindow(1000);
constexpr std::uint32_t minWindows = 3;
/// The estimated mean wait times this factor must not exceed the promised wait, so that work with a
/// longer wait than the mean still meets the promise.
constexpr std::int64_t waitMargin = 2;
/// Weight of the latest window in the exponential moving average.
constexpr double latestWindowWeight = 0.3;
constexpr double minStartsPerSecond = 0.01;
constexpr double millisecondsPerSecond = 1000;
constexpr Milliseconds retryAfterFullQueue(1000);
constexpr Milliseconds maxRetryAfter(60000);

} // namespace

std::optional<Refusal> PromisedWaitAdmission::refusalOf(const AdmissionRequest &request) const
{
    const KindPolicy &policy = request.policy;
    if (request.queuedInKind + request.taskCount > policy.queueBound) {
        return Refusal {{ErrorKind::QueueFull,
                         fmt::format("The queue for kind {} is full. Submit again later.",
                                     policy.kind.value())},
                        retryAfterFullQueue};
    }
    const std::size_t freeInQueue = policy.queueBound - request.queuedInKind;
    if (request.queuedOfTeam + request.taskCount > freeInQueue) {
        return Refusal {
                {ErrorKind::QueueFull,
                 fmt::format("The team has filled its part of the queue for kind {}. Submit "
                             "again later.",
                             policy.kind.value())},
                retryAfterFullQueue};
    }
    const std::optional<Milliseconds> wait = expectedWait(request.kind, request.queuedInKind);
    if (wait && *wait * waitMargin > policy.promisedWait) {
        return Refusal {
                {ErrorKind::WouldMissDeadline,
                 fmt::format(
                         "Work of kind {} currently waits about {} ms, so that some of it would "
                         "miss the promised wait of {} ms. Submit again later.",
                         policy.kind.value(), wait->count(), policy.promisedWait.count())},
                std::min(*wait, maxRetryAfter)};
    }
    return std::nullopt;
}

std::optional<Milliseconds> PromisedWaitAdmission::expectedWait(KindIndex kind,
                                                                std::size_t queued) const
{
    if (kind.value() >= rates_.size() || rates_[kind.value()].windowsSeen < minWindows)
        return std::nullopt;
    const double rate = std::max(rates_[kind.value()].startsPerSecond, minStartsPerSecond);
    return Milliseconds(
            static_cast<std::int64_t>(static_cast<double>(queued) / rate * millisecondsPerSecond));
}

void PromisedWaitAdmission::onStarted(KindIndex kind, std::size_t count)
{
    if (rates_.size() <= kind.value())
        rates_.resize(kind.value() + 1);
    rates_[kind.value()].startsInWindow += count;
}

void PromisedWaitAdmission::onPassEnded(TimePoint now, KindIndex kind, std::size_t queued)
{
    if (rates_.size() <= kind.value())
        rates_.resize(kind.value() + 1);
    StartRate &rate = rates_[kind.value()];
    if (queued == 0) {
        // Without a backlog the start rate is that of the arrivals and does not show how fast
        // a backlog would shrink.
        rate = {.windowStart = now};
        return;
    }
    const Milliseconds length = now - rate.windowStart;
    if (length < rateWindow)
        return;
    const double seconds = static_cast<double>(length.count()) / millisecondsPerSecond;
    const double latest = static_cast<double>(rate.startsInWindow) / seconds;
    rate.startsPerSecond = rate.windowsSeen == 0
            ? latest
            : latest * latestWindowWeight + rate.startsPerSecond * (1 - latestWindowWeight);
    ++rate.windowsSeen;
    rate.startsInWindow = 0;
    rate.windowStart = now;
}

} // namespace caraway
