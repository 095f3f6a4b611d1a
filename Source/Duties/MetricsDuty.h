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

/// Collects samples from all duties and renders the metrics on request.
class MetricsDuty
{
public:
    explicit MetricsDuty(std::size_t capacity);
    ~MetricsDuty();

    /// Queues a sample; if the ring is full, drops it and counts the drop.
    void offer(Sample sample);
    /// Increments the counter \a metric by one.
    void count(Metric metric, std::string label = {}) { offer({metric, 1, std::move(label)}); }
    /// Returns the text for GET /metrics; empty if the ring is full. Threads that call this must
    /// end before this object is destroyed.
    std::optional<std::string> render();

private:
    using TextRing = Ring<std::string>;
    using Item = std::variant<Sample, std::shared_ptr<TextRing>>;

    void run();
    void process(const Sample &sample) { metrics_.observe(sample); }
    void process(const std::shared_ptr<TextRing> &answer);

    Ring<Item> items_;
    std::atomic<std::uint64_t> dropped_ = 0;
    Metrics metrics_;
    std::thread thread_;
};

} // namespace caraway
