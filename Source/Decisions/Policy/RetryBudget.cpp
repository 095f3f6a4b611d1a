#include "Decisions/Policy/RetryBudget.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::uint32_t creditPerRetry = 100;
/// Credit of a kind that is new in the preset.
constexpr std::uint32_t initialCredit = 10 * creditPerRetry;
/// Limit on the credit that a kind accumulates.
constexpr std::uint32_t maxCredit = 100 * creditPerRetry;

} // namespace

void RetryBudget::usePreset(const Preset &preset)
{
    for (const KindPolicy &kind : preset.kinds) {
        const auto [entry, isNew] = budgets_.try_emplace(kind.kind);
        entry->second.percent = kind.retryBudget;
        if (isNew && kind.retryBudget > 0)
            entry->second.credit = initialCredit;
    }
}

void RetryBudget::onFirstStart(const KindId &kind)
{
    KindBudget &budget = budgets_[kind];
    budget.credit = std::min(budget.credit + budget.percent, maxCredit);
}

bool RetryBudget::grant(const KindId &kind, std::uint32_t failures)
{
    KindBudget &budget = budgets_[kind];
    if (failures >= maxFailuresPerTask || budget.credit < creditPerRetry)
        return false;
    budget.credit -= creditPerRetry;
    return true;
}

} // namespace caraway
