#pragma once

#include "Cell/ConfigurationCache.h"

namespace caraway::cell {

/// Which client account a caller's request belongs to.
struct Authentication
{
    enum class Outcome {
        /// The configuration has no accounts, or the queue is public.
        NotRequired,
        Permitted,
        /// No account has the key at present.
        UnknownKey,
    };

    Outcome outcome = Outcome::NotRequired;
    AccountId account;
};

/// Authenticates callers by their account keys. A key counts as known by the newest configuration
/// alone. Meant for keys that are withdrawn while callers are connected and while the store turns
/// single instances away.
class CallerAuthentication
{
public:
    CallerAuthentication(const CellContext &context, const ConfigurationCache &configuration)
        : context_(context)
        , configuration_(configuration)
    {
    }

    /// False when a later version may have been in force for as long as the operator allows, so
    /// that requests can't be judged by the one that is known here.
    bool isConfigurationCurrent() const;
    Authentication authenticate(const CallerRequest &request, const Queue &queue) const;

private:
    const CellContext &context_;
    const ConfigurationCache &configuration_;
};

} // namespace caraway::cell
