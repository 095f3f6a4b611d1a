#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"

#include <map>
#include <vector>

namespace caraway {

/// What a shard's holder has been promised by the other candidates: not to claim the shard for
/// a while. The holder counts each promise from before it asked, the promiser from its answer.
class HolderPromises
{
public:
    explicit HolderPromises(Milliseconds length)
        : length_(length)
    {
    }

    /// Begins a round of asking and returns its number.
    std::uint64_t beginRound(TimePoint now);
    void onGranted(const InstanceId &from, std::uint64_t round);
    void onRefused(const InstanceId &from) { grantedFrom_.erase(from); }
    /// Forgets every promise and every round.
    void reset();
    TimePoint lastRoundAt() const { return lastRoundAt_; }
    /// Until when each of \a promisers has promised; the zero time when one has not.
    TimePoint keptUntil(TimePoint now, const std::vector<InstanceId> &promisers) const;

private:
    Milliseconds length_;
    std::uint64_t round_ = 0;
    TimePoint lastRoundAt_;
    std::map<std::uint64_t, TimePoint> askedAt_;
    /// From when each promise is counted.
    std::map<InstanceId, TimePoint> grantedFrom_;
};

} // namespace caraway
