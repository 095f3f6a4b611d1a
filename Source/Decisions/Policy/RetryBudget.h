#pragma once

#include "Decisions/Preset.h"

#include <concepts>
#include <cstdint>
#include <unordered_map>

namespace caraway {

/// Decides whether a task that ran and failed is retried.
template<class R>
concept RetryPolicy
        = requires(R retries, const Preset &preset, const KindId &kind, std::uint32_t failures)
{
    retries.usePreset(preset);
    /// A task of \a kind starts for the first time.
    retries.onFirstStart(kind);
    /// Whether a task of \a kind that has failed \a failures times may run again.
    {
        retries.grant(kind, failures)
        } -> std::same_as<bool>;
};

/// Grants every retry.
class AlwaysRetry
{
public:
    void usePreset(const Preset & /*preset*/) { }
    void onFirstStart(const KindId & /*kind*/) { }
    bool grant(const KindId & /*kind*/, std::uint32_t /*failures*/) { return true; }
};

/// Limits the retries of each kind to the preset's percentage of the kind's first starts, and each
/// task to a fixed number of failures.
class RetryBudget
{
public:
    static constexpr std::uint32_t maxFailuresPerTask = 4;

    void usePreset(const Preset &preset);
    void onFirstStart(const KindId &kind);
    bool grant(const KindId &kind, std::uint32_t failures);

private:
    struct KindBudget
    {
        std::uint32_t percent = 0;
        /// Retries available, in hundredths of a retry.
        std::uint32_t credit = 0;
    };

    std::unordered_map<KindId, KindBudget> budgets_;
};

static_assert(RetryPolicy<AlwaysRetry>);
static_assert(RetryPolicy<RetryBudget>);

} // namespace caraway
