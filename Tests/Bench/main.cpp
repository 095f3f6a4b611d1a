#include "Bench/BenchOptions.h"

#include <fmt/format.h>

#include <string_view>

/// Measures the decisions on generated events. `benchDecisions smoke` runs a short version.
int main(int argc, char *argv[])
{
    using namespace caraway::bench;
    const bool isSmoke = argc > 1 && std::string_view(argv[1]) == "smoke";
    const BenchOptions smoke {{1}, {46}, 2000, 4, 4};
    const BenchOptions full {{1, 2, 3, 4, 5}, {46, 184, 460, 4600}, 100000, 30, 60};
    const BenchOptions &options = isSmoke ? smoke : full;
    fmt::print("Mean and standard deviation over {} seeds.\n", options.seeds.size());
    printDecisionCost(options);
    printFlood(options);
    printPacking(options);
    return 0;
}
