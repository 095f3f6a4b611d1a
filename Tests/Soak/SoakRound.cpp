#include "Soak/SoakRound.h"

#include "Soak/SoakTroubles.h"

#include <fmt/format.h>

namespace caraway::tests {

namespace {

/// Until the workers have registered and the holder has read them.
constexpr Milliseconds warmUp {2000};
/// Several narrow steps may have the same worker as the only one.
constexpr Milliseconds narrowSettling {20'000};

/// Clients hand jobs in while there is no worker, and from before there is a holder.
void startEarly(SoakFleet &fleet, SoakClients &clients, SoakJournal &journal)
{
    const Milliseconds from = soakNow();
    fleet.startInstances();
    clients.start();
    fleet.awaitInstances();
    for (const auto &instance : fleet.instances())
        journal.addDisturbance(instance->id().value(), from, soakNow());
    soakSleep(warmUp);
    fleet.startWorkers();
}

} // namespace

std::string SoakRoundResult::describe(const std::filesystem::path &folder) const
{
    std::string text = fmt::format("{} jobs, {} runs, {} findings\n", jobs, runs, findings.size());
    text += summary.describe();
    for (const SoakFinding &finding : findings)
        text += fmt::format("{}: {}\n", finding.rule, finding.text);
    if (!findings.empty())
        text += "Logs and journal: " + folder.string() + "\n";
    return text;
}

SoakRoundResult runSoakRound(const SoakRoundOptions &options)
{
    const std::filesystem::path &folder = options.fleet.folder;
    std::filesystem::create_directories(folder);
    SoakJournal journal((folder / "journal.txt").string());
    journal.write(fmt::format("seed {} kinds {}", options.fleet.seed, options.kinds));
    SoakFleetOptions fleetOptions = options.fleet;
    fleetOptions.hasSeveralQueues = options.load.isMixed;
    fleetOptions.hasNarrowSteps = options.load.hasNarrowSteps;
    SoakFleet fleet(fleetOptions, journal);
    // The folder may hold logs of an earlier round.
    const std::size_t earlierCrashes = countCrashLines(folder);
    const std::size_t earlierUnused = countUnusedAcknowledgements(folder);
    std::vector<SoakFront> fronts;
    for (const auto &instance : fleet.instances())
        fronts.push_back({instance->id(), instance->callersPort()});
    SoakClients clients(fronts, journal, options.fleet.seed, options.load);
    if (options.isEarly) {
        startEarly(fleet, clients, journal);
    } else {
        fleet.startWorkers();
        fleet.startInstances();
        fleet.awaitInstances();
        soakSleep(warmUp);
        clients.start();
    }
    SoakTroubles(fleet, journal, options.fleet.seed, options.kinds, options.load.hasLongRuns)
            .run(options.duration);
    clients.stop();
    Milliseconds settling = options.settling;
    if (options.load.hasNarrowSteps)
        settling += narrowSettling;
    if (options.load.hasLongRuns)
        settling += clients.remainingTime(options.fleet.workers * SoakWorkerTimes::millicores
                                          / 1000);
    const std::vector<SoakAnswer> unfinished = clients.askUntilFinished(settling);
    const std::vector<SoakJob> jobs = clients.jobs();
    SoakRoundResult result;
    result.jobs = jobs.size();
    result.runs = journal.runs().size();
    result.findings = SoakAudit(journal, jobs, unfinished,
                                options.fleet.workers * SoakWorkerTimes::millicores)
                              .findings();
    result.summary = summarize(journal, countCrashLines(folder) - earlierCrashes);
    result.summary.unusedAcknowledgements = countUnusedAcknowledgements(folder) - earlierUnused;
    if (result.summary.unusedAcknowledgements > 0 || result.summary.unlistedEnds > 0)
        result.findings.push_back({"UNREAD", "ends were acknowledged that no reply in use listed"});
    if (result.summary.countedCrashes > 0 && result.summary.workerCrashes == 0)
        result.findings.push_back({"CRASH", "crashes are counted, but no worker crashed"});
    journal.write(result.describe(folder));
    return result;
}

} // namespace caraway::tests
