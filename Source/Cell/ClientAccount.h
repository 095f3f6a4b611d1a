#pragma once

#include "Core/Ids.h"
#include "Core/Units.h"
#include "Decisions/Resources.h"

#include <vector>

namespace caraway::cell {

/// Name of a client account: the callers that share one weight and one cap.
using AccountId = NameId<struct AccountIdTag>;
/// A key by which callers prove that they belong to an account. It is a secret: no log line, metric
/// or record contains it.
using AccountKey = NameId<struct AccountKeyTag>;
/// Number that a holder assigns to an account, from 1; 0 for work of no account.
using AccountNumber = NumberId<struct AccountNumberTag>;
/// Thousandths of an account's weight.
using AccountWeight = Quantity<struct AccountWeightUnit>;

/// The operator's settings for one client account.
struct ClientAccount
{
    AccountId id;
    std::vector<AccountKey> keys;
    /// The account's share of the fleet when all of it is in use, relative to the other weights.
    /// Also the number of jobs a second that the account is entitled to submit.
    AccountWeight weight {1000};
    /// What the account may have running on all workers; 0 in a dimension for no limit.
    Resources cap;

    friend bool operator==(const ClientAccount &, const ClientAccount &) = default;
};

/// What a run counts for, and against which account.
struct AccountCharge
{
    AccountNumber account;
    Resources amount;
};

} // namespace caraway::cell
