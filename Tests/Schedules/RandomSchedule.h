#pragma once

#include "Support/FaultPlan.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace caraway::tests {

/// What one round found.
struct RoundResult
{
    std::uint64_t seed = 0;
    std::vector<std::string> faults;
    std::size_t jobs = 0;
    std::vector<std::string> findings;
};

/// One round: mixed work under faults that a seed picks, then a healed fleet and the audit.
class RandomSchedule
{
public:
    RandomSchedule(std::uint64_t seed, int loadMs);

    RoundResult run();

private:
    void runCaller(std::uint64_t seed, int number);
    PlannedJob drawJob(std::mt19937_64 &random, const std::string &name) const;
    void runFaults(FaultPlan &plan);
    bool waitUntilServing();

    std::uint64_t seed_;
    int loadMs_;
    std::mt19937_64 random_;
    TestFleet fleet_;
    CallerLog callers_ {fleet_};
    std::vector<std::string> faults_;
    std::int64_t loadEndsAt_ = 0;
};

} // namespace caraway::tests
