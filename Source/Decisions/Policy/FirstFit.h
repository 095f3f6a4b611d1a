#pragma once

#include "Decisions/Ledger.h"

#include <optional>

namespace caraway {

/// The first worker in the order of names that has room.
class FirstFit
{
public:
    std::optional<WorkerId> choose(const Ledger &ledger, const Resources &needs) const
    {
        for (const auto &[id, account] : ledger.accounts()) {
            if (account.isOpen && needs.fitsIn(account.free()))
                return id;
        }
        return std::nullopt;
    }
};

} // namespace caraway
