#pragma once

#include "Decisions/Fleet.h"
#include "Decisions/Job.h"
#include "Decisions/Preset.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace caraway::bench {

/// A fleet to decide for.
struct BenchFleet
{
    std::string name;
    std::size_t workersInShard = 0;
    std::size_t shards = 1;
    std::size_t workersInRack = 0;
    Resources capacity;

    std::vector<WorkerMember> workersOf(std::size_t shard) const;
    Resources totalCapacity() const;
};

/// 48 workers of 64 cores in four zones.
BenchFleet klangFleet();
/// 48 workers of 16 cores in three zones.
BenchFleet calabarzonFleet();
/// So many workers of 16 cores, one shard deciding for all.
BenchFleet singleShardFleet(std::size_t workers);

/// A kind of work that the bench generates.
struct Workload
{
    KindPolicy policy;
    /// Part of a worker's processors that one task takes, at least and at most.
    double leastPart = 0;
    double greatestPart = 0;
    double meanRunSeconds = 1;
    /// Part of the fleet's processors that the arriving work would keep busy.
    double demand = 0;
};

/// Filings, merges and urgent previews.
std::vector<Workload> mixedWorkloads();
Preset presetFor(const std::vector<Workload> &workloads, std::size_t teams);

/// Draws jobs of one workload.
class JobSource
{
public:
    JobSource(Workload workload, const BenchFleet &fleet, std::uint32_t seed);

    JobSpec draw(std::size_t team);
    /// How many jobs arrive in a step at so many times the workload's demand.
    std::size_t arrivals(double seconds, double factor);
    const Workload &workload() const { return workload_; }

private:
    Workload workload_;
    BenchFleet fleet_;
    std::mt19937 random_;
    std::uint64_t drawn_ = 0;
};

TeamId teamName(std::size_t team);

} // namespace caraway::bench
