#include "Cell/Policy/WaitEstimate.h"

#include <algorithm>
#include <cmath>

namespace caraway::cell {

namespace {

/// A backlog that was not recorded again for this long is gone.
constexpr Milliseconds backlogLifetime {1000};
/// Time constant of the weights of starts.
constexpr double startLifetimeMs = 1000;
/// Less than one start a second counts as one.
constexpr double minStartsPerMs = 0.001;
constexpr double maxWaitMs = 60'000;
/// A backlog that has lasted for less may be that of a burst, whose work starts within the
/// recovery.
constexpr Milliseconds burstLength {5000};
constexpr double burstRecoveryMs = 10'000;
/// At least this part of the starts (one divided by the constant) is taken to be left for a queue.
constexpr double maxShareDivisor = 10;

} // namespace

double BacklogWait::Starts::at(TimePoint now) const
{
    return weight * std::exp(-static_cast<double>((now - updatedAt).count()) / startLifetimeMs);
}

void BacklogWait::recordStart(std::int64_t priority, TimePoint now)
{
    Starts &starts = starts_[priority];
    starts.weight = starts.at(now) + 1;
    starts.updatedAt = now;
}

void BacklogWait::recordBacklog(const std::map<std::int64_t, std::size_t> &backlog, TimePoint now)
{
    if (backlog_.empty() || now - backlogAt_ > backlogLifetime)
        backlogSince_ = now;
    backlog_ = backlog;
    backlogAt_ = now;
}

Milliseconds BacklogWait::expectedWait(std::int64_t priority, TimePoint now) const
{
    if (backlog_.empty() || now - backlogAt_ > backlogLifetime)
        return {};
    double moreUrgent = 0;
    double own = 0;
    for (const auto &[row, tasks] : backlog_) {
        moreUrgent += row < priority ? static_cast<double>(tasks) : 0;
        own += row == priority ? static_cast<double>(tasks) : 0;
    }
    double allPerMs = 0;
    double ownPerMs = 0;
    for (const auto &[row, starts] : starts_) {
        const double perMs = starts.at(now) / startLifetimeMs;
        allPerMs += perMs;
        ownPerMs += row >= priority ? perMs : 0;
    }
    allPerMs = std::max(allPerMs, minStartsPerMs);
    // A queue that has started little because it had little must not stay refused.
    ownPerMs = std::max(ownPerMs, allPerMs / maxShareDivisor);
    const bool mayBeBurst = now - backlogSince_ <= burstLength;
    const double wait = moreUrgent / allPerMs + own / ownPerMs - (mayBeBurst ? burstRecoveryMs : 0);
    return Milliseconds(std::llround(std::clamp(wait, 0.0, maxWaitMs)));
}

} // namespace caraway::cell
