#pragma once

#include "Core/Ring.h"
#include "Duties/Metrics.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace caraway {

/// Takes samples from every duty and renders them on request.
class MetricsDuty
{
public:
    explicit MetricsDuty(std::size_t capacity);
    ~MetricsDuty();

    /// Takes a sample in; dropped, and counted, when too many wait.
    void offer(Sample sample);
    /// Counts one step of \a metric.
    void count(Metric metric, std::string label = {}) { offer({metric, 1, std::move(label)}); }
    /// The text for GET /metrics; nothing when the duty is overloaded. Whoever calls this has
    /// to end before the duty does.
    std::optional<std::string> render();

private:
    using TextRing = Ring<std::string>;
    using Item = std::variant<Sample, std::shared_ptr<TextRing>>;

    void run();
    void take(const Sample &sample) { metrics_.observe(sample); }
    void take(const std::shared_ptr<TextRing> &answer);

    Ring<Item> items_;
    std::atomic<std::uint64_t> dropped_ = 0;
    Metrics metrics_;
    std::thread thread_;
};

} // namespace caraway
