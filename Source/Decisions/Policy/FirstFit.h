#pragma once

#include "Decisions/Ledger.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace caraway {

/// The first worker in the order of the ledger that has room.
class FirstFit
{
public:
    void onChanged(const Ledger & /*ledger*/, WorkerIndex /*worker*/) { }

    std::optional<WorkerIndex> choose(const Ledger &ledger, const Resources &needs) const
    {
        for (std::size_t i = 0; i < ledger.accounts().size(); ++i) {
            const Ledger::Account &account = ledger.account(WorkerIndex(i));
            if (account.isOpen && !account.isHeld && needs.fitsIn(account.free()))
                return WorkerIndex(i);
        }
        return std::nullopt;
    }

    std::vector<WorkerIndex> chooseForGang(const Ledger &ledger, const Resources &needs,
                                           std::size_t count) const
    {
        std::vector<WorkerIndex> chosen;
        for (std::size_t i = 0; i < ledger.accounts().size() && chosen.size() < count; ++i) {
            const Ledger::Account &account = ledger.account(WorkerIndex(i));
            if (!account.isOpen || account.isHeld)
                continue;
            const auto missing = static_cast<std::int64_t>(count - chosen.size());
            const std::int64_t fits = needs.timesIn(account.free(), missing);
            chosen.insert(chosen.end(), static_cast<std::size_t>(fits), WorkerIndex(i));
        }
        return chosen.size() == count ? chosen : std::vector<WorkerIndex>();
    }
};

} // namespace caraway
