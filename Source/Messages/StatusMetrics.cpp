#include "Messages/StatusMetrics.h"

#include <fmt/format.h>

#include <functional>

namespace caraway {

namespace {

std::string gaugeHeader(std::string_view name, std::string_view help)
{
    return fmt::format("# HELP carawaymount_{} {}\n# TYPE carawaymount_{} gauge\n", name, help,
                       name);
}

std::string shardGauge(const InstanceStatus &status, std::string_view name, std::string_view help,
                       const std::function<std::size_t(const ShardStatus &)> &value)
{
    std::string text = gaugeHeader(name, help);
    for (const ShardStatus &shard : status.shards) {
        text += fmt::format("carawaymount_{}{{shard=\"{}\"}} {}\n", name, shard.shard.value(),
                            value(shard));
    }
    return text;
}

} // namespace

std::string encodeGauge(std::string_view name, std::string_view help, std::size_t value)
{
    return gaugeHeader(name, help) + fmt::format("carawaymount_{} {}\n", name, value);
}

std::string encodeStatusMetrics(const InstanceStatus &status)
{
    std::string text = encodeGauge("preset_revision", "Revision of the preset in force.",
                                   status.presetRevision.value());
    text += encodeGauge("open_requests", "Requests that wait for a shard's holder.",
                        status.openRequests);
    text += gaugeHeader("shard_lease_state", "1 for the state that the shard's lease is in.");
    for (const ShardStatus &shard : status.shards) {
        text += fmt::format("carawaymount_shard_lease_state{{shard=\"{}\",state=\"{}\"}} 1\n",
                            shard.shard.value(), shard.leaseState);
    }
    text += shardGauge(status, "shard_epoch", "Epoch of the shard's lease as last seen.",
                       [](const ShardStatus &shard) { return shard.epoch.value(); });
    text += shardGauge(status, "shard_waiting_tasks", "Tasks that wait for a place.",
                       [](const ShardStatus &shard) { return shard.waiting; });
    text += shardGauge(status, "shard_jobs", "Jobs that the shard's holder keeps.",
                       [](const ShardStatus &shard) { return shard.jobs; });
    return text;
}

} // namespace caraway
