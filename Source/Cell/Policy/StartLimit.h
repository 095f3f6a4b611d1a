#pragma once

#include "Core/Units.h"

#include <algorithm>
#include <concepts>
#include <cstddef>

namespace caraway::cell {

/// How many starts may be unanswered at a time. Tasks beyond the limit wait in the order of their
/// value, instead of as calls that may become too late.
template<class Limit>
concept StartLimit
        = std::default_initializable<Limit> && requires(Limit limit, const Limit &constLimit,
                                                        Milliseconds delay, std::size_t unanswered)
{
    limit.recordEventDelay(delay);
    limit.recordStartDelay(delay);
    {
        constLimit.mayBeginPass(unanswered)
        } -> std::same_as<bool>;
    {
        constLimit.mayStart(unanswered)
        } -> std::same_as<bool>;
};

/// The baseline: any number.
struct UnlimitedStarts
{
    static void recordEventDelay(Milliseconds /*delay*/) { }
    static void recordStartDelay(Milliseconds /*delay*/) { }
    static bool mayBeginPass(std::size_t /*unanswered*/) { return true; }
    static bool mayStart(std::size_t /*unanswered*/) { return true; }
};

/// The longer events wait for the decisions, or starts for their answers, the fewer starts. Each
/// start brings further events and calls, so both stay near their target on a processor of any
/// speed.
class DelayLimit
{
public:
    /// The latest event has waited for \a delay until it was handled.
    void recordEventDelay(Milliseconds delay)
    {
        eventDelay_ = delay;
        update();
    }
    /// A worker has answered a start \a delay after its decision.
    void recordStartDelay(Milliseconds delay)
    {
        meanStartDelay_ += (static_cast<double>(delay.count()) - meanStartDelay_) * smoothingFactor;
        update();
    }
    /// A pass has a cost of its own, so it begins only when it may start several tasks.
    bool mayBeginPass(std::size_t unanswered) const { return unanswered <= limit_ / 2; }
    bool mayStart(std::size_t unanswered) const { return unanswered < limit_; }

private:
    /// Well below the time after which starts are not sent any more.
    static constexpr double targetDelayMs = 100;
    /// More than a fleet of the design's size has on the way at its peak.
    static constexpr std::size_t maxUnanswered = 512;
    static constexpr std::size_t minUnanswered = 64;
    /// Weight of the newest start in the mean delay (exponential moving average).
    static constexpr double smoothingFactor = 0.05;

    void update()
    {
        const double delay = std::max(static_cast<double>(eventDelay_.count()), meanStartDelay_);
        const double limit = static_cast<double>(maxUnanswered) * targetDelayMs
                / std::max(delay, targetDelayMs);
        limit_ = std::max(static_cast<std::size_t>(limit), minUnanswered);
    }

    Milliseconds eventDelay_;
    double meanStartDelay_ = 0;
    std::size_t limit_ = maxUnanswered;
};

static_assert(StartLimit<UnlimitedStarts> && StartLimit<DelayLimit>);

} // namespace caraway::cell
