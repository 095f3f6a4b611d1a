#pragma once

#include "Decisions/Actions.h"

#include <string>
#include <string_view>

/// The state of an instance in the Prometheus text format.
namespace caraway {

/// One gauge without labels.
std::string encodeGauge(std::string_view name, std::string_view help, std::size_t value);
/// Preset revision, open requests, and for each shard its lease, epoch, queue and jobs.
std::string encodeStatusMetrics(const InstanceStatus &status);

} // namespace caraway
