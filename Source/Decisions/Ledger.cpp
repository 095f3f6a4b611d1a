#include "Decisions/Ledger.h"

#include <algorithm>

namespace caraway {

void Ledger::setCapacity(const WorkerId &worker, const Resources &capacity)
{
    accounts_[worker].capacity = capacity;
}

void Ledger::setOpen(const WorkerId &worker, bool isOpen)
{
    accounts_[worker].isOpen = isOpen;
}

void Ledger::clearReservations()
{
    for (auto &[id, account] : accounts_) {
        account.reserved = {};
        account.isOpen = false;
    }
}

bool Ledger::reserve(const WorkerId &worker, const Resources &needs)
{
    const auto found = accounts_.find(worker);
    if (found == accounts_.end() || !needs.fitsIn(found->second.free()))
        return false;
    found->second.reserved += needs;
    return true;
}

void Ledger::reserveFound(const WorkerId &worker, const Resources &needs)
{
    accounts_[worker].reserved += needs;
}

void Ledger::release(const WorkerId &worker, const Resources &needs)
{
    const auto found = accounts_.find(worker);
    if (found != accounts_.end())
        found->second.reserved -= needs;
}

bool Ledger::couldEverFit(const Resources &needs) const
{
    return std::ranges::any_of(
            accounts_, [&](const auto &entry) { return needs.fitsIn(entry.second.capacity); });
}

} // namespace caraway
