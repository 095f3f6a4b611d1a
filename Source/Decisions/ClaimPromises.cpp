#include "Decisions/ClaimPromises.h"

#include <algorithm>

namespace caraway {

std::uint64_t ClaimPromises::startRequestRound(TimePoint now)
{
    std::erase_if(requestedAt_, [&](const auto &round) { return now - round.second >= duration_; });
    lastRequestAt_ = now;
    requestedAt_[++round_] = now;
    return round_;
}

void ClaimPromises::onGranted(const InstanceId &from, std::uint64_t round)
{
    const auto requested = requestedAt_.find(round);
    if (requested == requestedAt_.end())
        return;
    TimePoint &countedFrom = grantedFrom_[from];
    countedFrom = std::max(countedFrom, requested->second);
}

void ClaimPromises::reset()
{
    requestedAt_.clear();
    grantedFrom_.clear();
}

TimePoint ClaimPromises::grantedUntil(TimePoint now, const std::vector<InstanceId> &promisers) const
{
    TimePoint until = now + duration_;
    for (const InstanceId &promiser : promisers) {
        const auto granted = grantedFrom_.find(promiser);
        if (granted == grantedFrom_.end())
            return {};
        until = std::min(until, granted->second + duration_);
    }
    return until;
}

} // namespace caraway
