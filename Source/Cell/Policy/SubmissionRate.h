#pragma once

#include "Cell/ClientAccount.h"
#include "Core/Clock.h"

#include <algorithm>
#include <concepts>
#include <vector>

namespace caraway::cell {

/// Which jobs of an account exceed the rate that it is entitled to.
template<class Rate>
concept SubmissionRate
        = requires(Rate rate, AccountNumber account, AccountWeight weight, TimePoint now)
{
    {
        rate.recordJob(account, weight, now)
        } -> std::same_as<bool>;
};

/// The baseline: none.
struct UnlimitedRate
{
    static bool recordJob(AccountNumber /*account*/, AccountWeight /*weight*/, TimePoint /*now*/)
    {
        return false;
    }
};

/// An account's weight is the number of jobs that it may submit a second. A bucket of the jobs of
/// one second evens out how they are spread over it. Meant for an account that floods the fleet
/// with several times the jobs that it usually has.
class WeightRate
{
public:
    /// Records a job of the account; returns true when it exceeds the rate.
    bool recordJob(AccountNumber account, AccountWeight weight, TimePoint now)
    {
        if (account == AccountNumber())
            return false;
        if (buckets_.size() <= account.value())
            buckets_.resize(account.value() + 1);
        Bucket &bucket = buckets_[account.value()];
        const auto capacity = std::max(static_cast<double>(weight.count()) / weightFractions, 1.0);
        if (!bucket.isUsed) {
            bucket = {capacity, now, true};
        } else {
            const auto elapsed = static_cast<double>((now - bucket.updatedAt).count());
            bucket.jobs
                    = std::min(capacity, bucket.jobs + capacity * elapsed / millisecondsPerSecond);
            bucket.updatedAt = now;
        }
        if (bucket.jobs < 1)
            return true;
        bucket.jobs -= 1;
        return false;
    }

private:
    static constexpr double weightFractions = 1000;
    static constexpr double millisecondsPerSecond = 1000;

    struct Bucket
    {
        /// Jobs that may be submitted at once.
        double jobs = 0;
        TimePoint updatedAt;
        bool isUsed = false;
    };

    std::vector<Bucket> buckets_;
};

static_assert(SubmissionRate<UnlimitedRate> && SubmissionRate<WeightRate>);

} // namespace caraway::cell
