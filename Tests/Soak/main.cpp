#include "Soak/SoakRound.h"
#include "Soak/SoakTroubles.h"
#include "Support/KnownFailures.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>

namespace {

constexpr auto usage
        = R"(Runs entry processes under load and seeded trouble, and audits the tasks and the answers.

Usage:
  testSoak [--seed=N] [--seconds=N] [--instances=N] [--workers=N] [--clients=N]
           [--kinds=LETTERS] [--mixed] [--long] [--early] [--unordered]
           [--approval-ms=N] [--narrow]
           [--folder=PATH] [--program=PATH] [--template=PATH]

Options:
  --seed=N         Seed of the troubles and of the load [default: 1].
  --seconds=N      Duration of load and troubles [default: 60].
  --instances=N    Number of entry instances [default: 3].
  --workers=N      Number of workers [default: 8].
  --clients=N      Number of clients [default: 6].
  --kinds=LETTERS  Kinds of trouble, each as likely as it is often named; "none" for none. Workers:
                   r restarted behind a cut, c restarted, x cut off, d late orders, e late orders
                   that the next incarnation carries out (not by default), w leave as announced and
                   are replaced (not by default). Instances:
                   k killed, t SIGTERM, z stopped for a while, h SIGHUP, n replaced by another one,
                   o all killed at once, with some workers, m the holder partitioned with some
                   workers (not by default). Store: p down, l answers lost, s slow,
                   f refuses one instance, g forgets its history [default: rcxdktzhplsf].
  --mixed          Jobs of several queues, with gangs, approvals, failing runs and large tasks.
  --long           A quarter of the jobs has runs of 6 to 11 s, and workers are cut off for 3 to 12 s,
                   one at a time.
  --early          Clients hand jobs in before there is a holder, and before there are workers.
  --unordered      Workers list ends in any order, and some of them late.
  --approval-ms=N  How long the policy service takes for a request [default: 40].
  --narrow         With --mixed: a part of the steps with approvals may run on one worker only, and has
                   more tasks than all workers could run at once. Not with kind w.
  --folder=PATH    Settings, logs and journal [default: soak-logs].
  --program=PATH   Program of the entry instances, such as that of an earlier release.
  --template=PATH  Template of its settings.
)";

} // namespace

/// Exit code 1: a finding that KNOWN-RED.txt does not list.
int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(usage, std::vector<std::string>(argv + 1, argv + argc));
    caraway::tests::SoakRoundOptions options;
    options.fleet.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    options.fleet.instances = static_cast<int>(arguments["--instances"].asLong());
    options.fleet.workers = static_cast<int>(arguments["--workers"].asLong());
    options.fleet.folder = arguments["--folder"].asString();
    if (arguments["--program"])
        options.fleet.program = arguments["--program"].asString();
    if (arguments["--template"])
        options.fleet.settingsTemplate = arguments["--template"].asString();
    options.duration = caraway::Milliseconds(arguments["--seconds"].asLong() * 1000);
    options.kinds = arguments["--kinds"].asString();
    options.load.clients = static_cast<std::size_t>(arguments["--clients"].asLong());
    options.load.isMixed = arguments["--mixed"].asBool();
    options.load.hasNarrowSteps = arguments["--narrow"].asBool();
    options.isEarly = arguments["--early"].asBool();
    options.fleet.approvalTime = caraway::Milliseconds(arguments["--approval-ms"].asLong());
    options.fleet.areEndsUnordered = arguments["--unordered"].asBool();
    options.load.hasLongRuns = arguments["--long"].asBool();
    const std::string kinds = options.kinds;
    if (kinds == "none")
        options.kinds.clear();
    if (options.kinds.find_first_not_of(caraway::tests::SoakTroubles::allKinds)
        != std::string::npos) {
        fmt::print(stderr, "There is no such kind of trouble: {}\n", options.kinds);
        return 2;
    }
    const caraway::tests::SoakRoundResult result = caraway::tests::runSoakRound(options);
    fmt::print("seed {} kinds {}: {}", options.fleet.seed, kinds,
               result.describe(options.fleet.folder));
    const caraway::tests::KnownFailures knownFailures;
    const std::string command = fmt::format("testSoak --seed={} --kinds={}{}", options.fleet.seed,
                                            kinds, options.load.hasLongRuns ? " --long" : "");
    return result.findings.empty() || knownFailures.reportIfListed(command) ? 0 : 1;
}
