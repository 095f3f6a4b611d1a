// The client accounts of CellScheduler.

#include "Cell/CellScheduler.h"

namespace caraway::cell {

namespace {

/// Bounds the lines of one log interval; the accounts with the most work come first.
constexpr std::size_t maxAccountLines = 8;

} // namespace

void CellScheduler::configureAccounts()
{
    if (const CellConfiguration *configuration = configuration_.current())
        accounts_.configure(*configuration);
}

void CellScheduler::countAccounts(std::span<const StartCandidate> candidates)
{
    if (!accounts_.isActive())
        return;
    Resources capacity;
    for (const auto &[id, worker] : fleet_.workers()) {
        if (fleet_.isUsable(worker))
            capacity += worker.entry->capacity;
    }
    accounts_.beginPass(capacity);
    for (const auto &[id, worker] : fleet_.workers()) {
        for (const Placement &placement : worker.placements)
            accounts_.addRunning(placement.charge);
        accounts_.addUnknown(fleet_.unknownUse(worker));
    }
    for (const StartCandidate &candidate : candidates)
        accounts_.addWaiting(candidate.job->account);
    accounts_.finishCounting();
}

std::int64_t CellScheduler::startableTasks(const StartCandidate &candidate) const
{
    return accounts_.startableTasks(candidate.job->account, candidate.step->spec.need,
                                    static_cast<std::int64_t>(candidate.step->counts.waiting));
}

/// Logs what the accounts with the largest parts of the fleet have running, against their shares
/// and caps.
void CellScheduler::logAccounts()
{
    if (!accounts_.isActive())
        return;
    std::map<AccountNumber, std::pair<std::size_t, std::size_t>> jobs;
    for (const auto &[id, job] : jobs_) {
        auto &[all, surplus] = jobs[job->account];
        ++all;
        surplus += job->isSurplus ? 1 : 0;
    }
    std::vector<AccountNumber> accounts = accounts_.activeAccounts();
    const std::size_t count = std::min(accounts.size(), maxAccountLines);
    std::partial_sort(accounts.begin(), accounts.begin() + static_cast<std::ptrdiff_t>(count),
                      accounts.end(), [&](AccountNumber a, AccountNumber b) {
                          return accounts_.dominantShare(a) > accounts_.dominantShare(b);
                      });
    accounts.resize(count);
    for (const AccountNumber account : accounts) {
        const auto &[all, surplus] = jobs[account];
        context_.log("event=account_load account={} running_millicores={} cap_millicores={} "
                     "share={:.3f} fair_share={:.3f} jobs={} surplus_jobs={}",
                     accounts_.idOf(account).value(), accounts_.running(account).processors.count(),
                     accounts_.cap(account).processors.count(), accounts_.dominantShare(account),
                     accounts_.fairShare(account), all, surplus);
    }
}

} // namespace caraway::cell
