#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"

#include <map>
#include <vector>

namespace caraway {

/// The other candidates' promises to a shard's holder not to claim the shard for a fixed duration.
///
/// The holder counts a promise from the time at which it sent the request, the promiser from its
/// later reply, so a promise always expires first at the holder.
class ClaimPromises
{
public:
    explicit ClaimPromises(Milliseconds duration)
        : duration_(duration)
    {
    }

    /// Starts a promise request round and returns its number.
    std::uint64_t startRequestRound(TimePoint now);
    void onGranted(const InstanceId &from, std::uint64_t round);
    void onRefused(const InstanceId &from) { grantedFrom_.erase(from); }
    /// Discards all promises and all request rounds.
    void reset();
    TimePoint lastRequestAt() const { return lastRequestAt_; }
    /// The time until which every one of \a promisers has promised; the zero time when one of them
    /// has no promise recorded.
    TimePoint grantedUntil(TimePoint now, const std::vector<InstanceId> &promisers) const;

private:
    Milliseconds duration_;
    std::uint64_t round_ = 0;
    TimePoint lastRequestAt_;
    std::map<std::uint64_t, TimePoint> requestedAt_;
    /// When the request that each promise replies to was sent.
    std::map<InstanceId, TimePoint> grantedFrom_;
};

} // namespace caraway
