#include "Schedules/RandomSchedule.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>

namespace {

constexpr auto usage = R"(Runs seeded random schedules of work and faults, and audits each.

Usage:
  testSchedules [--seed=N] [--rounds=N] [--load-ms=MS]

Options:
  --seed=N      Seed of the first round; each later one adds 1 [default: 1].
  --rounds=N    [default: 1]
  --load-ms=MS  How long work and faults go on in a round [default: 8000].
)";

int runRound(std::uint64_t seed, int loadMs)
{
    const caraway::tests::RoundResult round = caraway::tests::RandomSchedule(seed, loadMs).run();
    fmt::print("seed {}: {} jobs, {} faults: {}\n", round.seed, round.jobs, round.faults.size(),
               round.findings.empty() ? "nothing found" : "FAILED");
    if (round.findings.empty())
        return 0;
    for (const std::string &fault : round.faults)
        fmt::print("  fault: {}\n", fault);
    for (const std::string &finding : round.findings)
        fmt::print("  {}\n", finding);
    return 1;
}

} // namespace

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(usage, std::vector<std::string>(argv + 1, argv + argc));
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    const long rounds = arguments["--rounds"].asLong();
    const int loadMs = static_cast<int>(arguments["--load-ms"].asLong());
    int failed = 0;
    for (long round = 0; round < rounds; ++round) {
        failed += runRound(seed + static_cast<std::uint64_t>(round), loadMs);
        std::fflush(stdout);
    }
    fmt::print("{} of {} rounds failed\n", failed, rounds);
    return failed == 0 ? 0 : 1;
}
