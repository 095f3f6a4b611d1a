#include "Decisions/Policy/RetryBudget.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::uint32_t creditOfRetry = 100;
/// A kind that has just begun may retry this often; savings never exceed the second amount.
constexpr std::uint32_t firstCredit = 10 * creditOfRetry;
constexpr std::uint32_t mostCredit = 100 * creditOfRetry;

} // namespace

void RetryBudget::usePreset(const Preset &preset)
{
    for (const KindPolicy &kind : preset.kinds) {
        const auto [place, isNew] = accounts_.try_emplace(kind.kind);
        place->second.percent = kind.retryBudget;
        if (isNew && kind.retryBudget > 0)
            place->second.credit = firstCredit;
    }
}

void RetryBudget::noteFirstStart(const KindId &kind)
{
    Account &account = accounts_[kind];
    account.credit = std::min(account.credit + account.percent, mostCredit);
}

bool RetryBudget::grant(const KindId &kind, std::uint32_t failures)
{
    Account &account = accounts_[kind];
    if (failures >= maxFailuresOfTask || account.credit < creditOfRetry)
        return false;
    account.credit -= creditOfRetry;
    return true;
}

} // namespace caraway
