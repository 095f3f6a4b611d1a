#pragma once

#include "Decisions/Actions.h"

#include <string>
#include <string_view>

/// The status of an instance as metrics in the Prometheus text format.
namespace caraway {

/// One gauge without labels.
std::string encodeGauge(std::string_view name, std::string_view help, std::size_t value);
/// Preset revision and open requests; per shard the lease state, the epoch and the numbers of
/// queued tasks and of jobs.
std::string encodeStatusMetrics(const InstanceStatus &status);

} // namespace caraway
