#pragma once

#include "Soak/SoakAudit.h"
#include "Soak/SoakClients.h"
#include "Soak/SoakFleet.h"
#include "Soak/SoakSummary.h"

namespace caraway::tests {

struct SoakRoundOptions
{
    SoakFleetOptions fleet;
    Milliseconds duration;
    /// Until all jobs must be finished after the troubles; rounds with long runs add what these
    /// take.
    Milliseconds settling {22'000};
    std::string kinds;
    /// With long runs, workers are also cut off for longer than their lease.
    SoakLoad load;
    /// Clients start before there is a holder, and workers afterwards.
    bool isEarly = false;
};

struct SoakRoundResult
{
    std::size_t jobs = 0;
    std::size_t runs = 0;
    std::vector<SoakFinding> findings;
    SoakSummary summary;

    /// The summary and the findings, and the folder of the logs that show them.
    std::string describe(const std::filesystem::path &folder) const;
};

/// Load and troubles on a fleet of real processes, then the audit.
SoakRoundResult runSoakRound(const SoakRoundOptions &options);

} // namespace caraway::tests
