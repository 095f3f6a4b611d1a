#pragma once

#include "Soak/SoakJournal.h"

#include <filesystem>

namespace caraway::tests {

/// Counts of a round that show how far its troubles went.
struct SoakSummary
{
    std::size_t lapsedRuns = 0;
    /// Ends that were acknowledged before the lease lapsed.
    std::size_t notedEnds = 0;
    /// Of these: acknowledged before any reply listed them.
    std::size_t unlistedEnds = 0;
    /// Of these: acknowledged within a millisecond after they were first listed.
    std::size_t promptEnds = 0;
    /// From first listed to acknowledged, for each noted end that was listed; ascending.
    std::vector<Milliseconds> delays;
    std::size_t workerCrashes = 0;
    /// Crashes under runs that the instances count.
    std::size_t countedCrashes = 0;
    /// Acknowledgements that an incarnation has received whose reply the holder did not use.
    std::size_t unusedAcknowledgements = 0;

    std::string describe() const;
};

/// \a countedCrashes as in SoakSummary.
SoakSummary summarize(const SoakJournal &journal, std::size_t countedCrashes);

/// Sum of the unused acknowledgements in the logs in \a folder.
std::size_t countUnusedAcknowledgements(const std::filesystem::path &folder);

/// Lines of the logs in \a folder that say that a worker crashed under a run.
std::size_t countCrashLines(const std::filesystem::path &folder);

} // namespace caraway::tests
