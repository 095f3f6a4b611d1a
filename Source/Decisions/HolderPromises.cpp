#include "Decisions/HolderPromises.h"

#include <algorithm>

namespace caraway {

std::uint64_t HolderPromises::beginRound(TimePoint now)
{
    std::erase_if(askedAt_, [&](const auto &round) { return now - round.second >= length_; });
    lastRoundAt_ = now;
    askedAt_[++round_] = now;
    return round_;
}

void HolderPromises::onGranted(const InstanceId &from, std::uint64_t round)
{
    const auto asked = askedAt_.find(round);
    if (asked == askedAt_.end())
        return;
    TimePoint &counted = grantedFrom_[from];
    counted = std::max(counted, asked->second);
}

void HolderPromises::reset()
{
    askedAt_.clear();
    grantedFrom_.clear();
}

TimePoint HolderPromises::keptUntil(TimePoint now, const std::vector<InstanceId> &promisers) const
{
    TimePoint until = now + length_;
    for (const InstanceId &promiser : promisers) {
        const auto granted = grantedFrom_.find(promiser);
        if (granted == grantedFrom_.end())
            return {};
        until = std::min(until, granted->second + length_);
    }
    return until;
}

} // namespace caraway
