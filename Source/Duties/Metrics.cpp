#include "Duties/Metrics.h"

#include <fmt/format.h>

#include <array>
#include <iterator>
#include <string_view>

namespace caraway {

namespace {

namespace accumulators = boost::accumulators;

enum class MetricType { Counter, Summary };

struct MetricRow
{
    std::string_view name;
    std::string_view label;
    MetricType type;
    std::string_view help;
};

constexpr std::array quantiles = {0.5, 0.9, 0.99, 0.999};

constexpr std::array metricRows = std::to_array<MetricRow>({
        {"decision_seconds", "", MetricType::Summary, "Time to decide on one event."},
        {"events_handled_total", "", MetricType::Counter, "Events that the decisions took in."},
        {"events_dropped_total", "", MetricType::Counter, "Events that found the ring full."},
        {"task_starts_total", "kind", MetricType::Counter, "Tasks that workers started."},
        {"task_wait_seconds", "kind", MetricType::Summary, "Wait before a task started."},
        {"jobs_ended_total", "state", MetricType::Counter, "Jobs by the state they ended in."},
        {"jobs_refused_total", "error", MetricType::Counter, "Jobs refused, by error kind."},
        {"store_calls_total", "call", MetricType::Counter, "Calls to the key-value store."},
        {"store_call_seconds", "call", MetricType::Summary, "Time that a store call took."},
        {"store_failures_total", "call", MetricType::Counter, "Store calls without an answer."},
        {"peer_frames_sent_total", "", MetricType::Counter, "Frames sent to other instances."},
        {"peer_bytes_sent_total", "", MetricType::Counter, "Bytes sent to other instances."},
        {"peer_frames_received_total", "", MetricType::Counter, "Frames from other instances."},
        {"peer_bytes_received_total", "", MetricType::Counter, "Bytes from other instances."},
        {"worker_calls_total", "call", MetricType::Counter, "Calls to workers."},
        {"worker_call_seconds", "call", MetricType::Summary, "Time that a worker call took."},
        {"worker_failures_total", "call", MetricType::Counter, "Worker calls without an answer."},
        {"caller_requests_total", "status", MetricType::Counter, "Requests by HTTP status."},
        {"worker_replies_total", "outcome", MetricType::Counter, "Worker calls by their outcome."},
        {"scheduling_passes_total", "", MetricType::Counter, "Scheduling passes."},
        {"pass_seconds", "", MetricType::Summary, "Processor time of one scheduling pass."},
        {"pass_candidates_total", "", MetricType::Counter, "Steps that passes tried to start."},
        {"pass_worker_checks_total", "", MetricType::Counter, "Workers that passes considered."},
        {"approval_decisions_total", "decision", MetricType::Counter,
         "Decisions of passes on approval requests for steps that lack approvals."},
});

const MetricRow &rowOf(Metric metric)
{
    return metricRows.at(static_cast<std::size_t>(metric));
}

std::string labels(const MetricRow &row, const std::string &label, const std::string &quantile = "")
{
    std::string text;
    if (!row.label.empty())
        text += fmt::format("{}=\"{}\"", row.label, label);
    if (!quantile.empty())
        text += fmt::format("{}quantile=\"{}\"", text.empty() ? "" : ",", quantile);
    return text.empty() ? text : fmt::format("{{{}}}", text);
}

/// Writes the HELP and TYPE lines, once per metric.
void writeHeader(std::string &text, Metric metric, Metric &last, bool &isFirst)
{
    if (!isFirst && metric == last)
        return;
    isFirst = false;
    last = metric;
    const MetricRow &row = rowOf(metric);
    text += fmt::format("# HELP carawaymount_{} {}\n# TYPE carawaymount_{} {}\n", row.name,
                        row.help, row.name,
                        row.type == MetricType::Counter ? "counter" : "summary");
}

} // namespace

void Metrics::observe(const Sample &sample)
{
    const Key key {sample.metric, sample.label};
    if (rowOf(sample.metric).type == MetricType::Counter) {
        counters_[key] += sample.value;
        return;
    }
    auto found = distributions_.find(key);
    if (found == distributions_.end()) {
        Distribution added(accumulators::extended_p_square_probabilities = quantiles);
        found = distributions_.emplace(key, std::move(added)).first;
    }
    found->second(sample.value);
}

std::string Metrics::render() const
{
    std::string text;
    Metric last {};
    bool isFirst = true;
    for (const auto &[key, value] : counters_) {
        writeHeader(text, key.first, last, isFirst);
        const MetricRow &row = rowOf(key.first);
        text += fmt::format("carawaymount_{}{} {}\n", row.name, labels(row, key.second), value);
    }
    for (const auto &[key, distribution] : distributions_) {
        writeHeader(text, key.first, last, isFirst);
        const MetricRow &row = rowOf(key.first);
        const auto estimates = accumulators::extended_p_square(distribution);
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            text += fmt::format("carawaymount_{}{} {}\n", row.name,
                                labels(row, key.second, fmt::format("{}", quantiles.at(i))),
                                estimates[static_cast<std::ptrdiff_t>(i)]);
        }
        text += fmt::format("carawaymount_{}_sum{} {}\n", row.name, labels(row, key.second),
                            accumulators::sum(distribution));
        text += fmt::format("carawaymount_{}_count{} {}\n", row.name, labels(row, key.second),
                            accumulators::count(distribution));
    }
    return text;
}

} // namespace caraway
