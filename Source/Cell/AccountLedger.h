#pragma once

#include "Cell/JobSpec.h"

#include <unordered_map>

namespace caraway::cell {

/// What each client account has running on the workers, against its cap and its share of the fleet.
/// What runs is counted anew for each scheduling pass, from the allocations on the workers: an
/// allocation lasts as long as its run may exist, also one of an earlier holder.
///
/// Meant for accounts that want more than their caps and, together, more than the fleet has.
class AccountLedger
{
public:
    /// The number of the account, which lasts as long as the process; 0 for the empty name.
    AccountNumber numberOf(const AccountId &account);
    const AccountId &idOf(AccountNumber account) const { return rows_[account.value()].id; }
    /// Applies weights and caps. An account that was removed keeps its last ones for the jobs that
    /// it still has.
    void configure(const CellConfiguration &configuration);
    /// Whether the configuration has accounts.
    bool isActive() const { return isActive_; }

    /// Begins to count for a pass over workers with this \a capacity.
    void beginPass(const Resources &capacity);
    void addRunning(const AccountCharge &charge);
    /// Counts resources that runs of any account may use, as the runs there are not known yet.
    void addUnknown(const Resources &amount) { unknown_ += amount; }
    /// The account has work that could start.
    void addWaiting(AccountNumber account);
    /// To be called when all running and waiting work has been added.
    void finishCounting();

    /// Keeps room under the account's cap for a gang, against the work after it.
    void reserve(AccountNumber account, const Resources &need, std::int64_t tasks);
    /// How many of \a tasks that need \a need each the account may start now. An account with
    /// nothing running may start one, as a task that needs more than the cap could never run
    /// otherwise.
    std::int64_t startableTasks(AccountNumber account, const Resources &need,
                                std::int64_t tasks) const;
    /// Whether \a tasks of this size may ever run together under \a cap.
    static bool fitsCap(const Resources &cap, const Resources &need, std::int64_t tasks);
    /// Whether the account has at least its share of the fleet running; the shares are by weight
    /// among the accounts with running or waiting work.
    bool isAboveShare(AccountNumber account) const;
    /// What the account has running, as the larger part of the fleet over all resources.
    double dominantShare(AccountNumber account) const;
    /// The part of the fleet that the account is entitled to at present.
    double fairShare(AccountNumber account) const;
    const Resources &running(AccountNumber account) const { return rows_[account.value()].running; }
    const Resources &cap(AccountNumber account) const { return rows_[account.value()].cap; }
    AccountWeight weight(AccountNumber account) const { return rows_[account.value()].weight; }
    /// Accounts with running or waiting work, in the order of their numbers.
    std::vector<AccountNumber> activeAccounts() const;

private:
    struct Row
    {
        AccountId id;
        AccountWeight weight {1000};
        Resources cap;
        Resources running;
        Resources reserved;
        bool hasWaiting = false;
    };

    static bool hasWork(const Row &row) { return row.hasWaiting || !(row.running == Resources()); }

    bool isActive_ = false;
    ConfigurationVersion version_;
    std::unordered_map<AccountId, AccountNumber> numbers_;
    /// By number; the first one is for work of no account, which has no cap.
    std::vector<Row> rows_ {1};
    Resources capacity_;
    Resources unknown_;
    AccountWeight activeWeight_;
};

} // namespace caraway::cell
