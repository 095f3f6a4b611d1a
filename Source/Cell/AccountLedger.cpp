#include "Cell/AccountLedger.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// How many amounts of \a need are left of \a cap after \a used; \a most for no limit.
template<class Amount>
std::int64_t timesLeft(Amount cap, Amount used, Amount need, std::int64_t most)
{
    if (cap.count() == 0 || need.count() <= 0)
        return most;
    return std::clamp((cap - used).count() / need.count(), std::int64_t(0), most);
}

std::int64_t timesLeft(const Resources &cap, const Resources &used, const Resources &need,
                       std::int64_t most)
{
    return std::min({timesLeft(cap.processors, used.processors, need.processors, most),
                     timesLeft(cap.memory, used.memory, need.memory, most),
                     timesLeft(cap.accelerators, used.accelerators, need.accelerators, most)});
}

} // namespace

AccountNumber AccountLedger::numberOf(const AccountId &account)
{
    if (account.isEmpty())
        return {};
    const auto [found, isNew] = numbers_.try_emplace(account, AccountNumber(rows_.size()));
    if (isNew)
        rows_.emplace_back().id = account;
    return found->second;
}

void AccountLedger::configure(const CellConfiguration &configuration)
{
    if (configuration.version == version_)
        return;
    version_ = configuration.version;
    isActive_ = configuration.hasAccounts;
    for (const ClientAccount &account : configuration.accounts) {
        Row &row = rows_[numberOf(account.id).value()];
        row.weight = account.weight;
        row.cap = account.cap;
    }
}

void AccountLedger::beginPass(const Resources &capacity)
{
    capacity_ = capacity;
    unknown_ = {};
    activeWeight_ = {};
    for (Row &row : rows_) {
        row.running = row.reserved = {};
        row.hasWaiting = false;
    }
}

void AccountLedger::addRunning(const AccountCharge &charge)
{
    rows_[charge.account.value()].running += charge.amount;
}

void AccountLedger::addWaiting(AccountNumber account)
{
    rows_[account.value()].hasWaiting = true;
}

void AccountLedger::finishCounting()
{
    for (const Row &row : rows_)
        activeWeight_ += hasWork(row) ? row.weight : AccountWeight();
}

std::int64_t AccountLedger::startableTasks(AccountNumber account, const Resources &need,
                                           std::int64_t tasks) const
{
    const Row &row = rows_[account.value()];
    if (!isActive_ || account == AccountNumber() || row.cap == Resources())
        return tasks;
    const Resources used = row.running + unknown_ + row.reserved;
    const std::int64_t left = timesLeft(row.cap, used, need, tasks);
    return used == Resources() ? std::max(left, std::min<std::int64_t>(tasks, 1)) : left;
}

bool AccountLedger::fitsCap(const Resources &cap, const Resources &need, std::int64_t tasks)
{
    return tasks <= 1 || timesLeft(cap, {}, need, tasks) >= tasks;
}

void AccountLedger::reserve(AccountNumber account, const Resources &need, std::int64_t tasks)
{
    Resources &reserved = rows_[account.value()].reserved;
    reserved.processors += need.processors * tasks;
    reserved.memory += need.memory * tasks;
    reserved.accelerators += need.accelerators * tasks;
}

bool AccountLedger::isAboveShare(AccountNumber account) const
{
    return isActive_ && account != AccountNumber() && dominantShare(account) >= fairShare(account);
}

double AccountLedger::dominantShare(AccountNumber account) const
{
    return rows_[account.value()].running.dominantShareOf(capacity_);
}

double AccountLedger::fairShare(AccountNumber account) const
{
    if (activeWeight_ == AccountWeight())
        return 0;
    return static_cast<double>(rows_[account.value()].weight.count())
            / static_cast<double>(activeWeight_.count());
}

std::vector<AccountNumber> AccountLedger::activeAccounts() const
{
    std::vector<AccountNumber> accounts;
    for (std::size_t i = 1; i < rows_.size(); ++i) {
        if (hasWork(rows_[i]))
            accounts.emplace_back(i);
    }
    return accounts;
}

} // namespace caraway::cell
