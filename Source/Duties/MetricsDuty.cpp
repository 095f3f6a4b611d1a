#include "Duties/MetricsDuty.h"

#include <fmt/format.h>

namespace caraway {

MetricsDuty::MetricsDuty(std::size_t capacity)
    : items_(capacity)
    , thread_([this] { run(); })
{
}

MetricsDuty::~MetricsDuty()
{
    items_.close();
    thread_.join();
}

void MetricsDuty::offer(Sample sample)
{
    if (!items_.offer(std::move(sample)))
        ++dropped_;
}

std::optional<std::string> MetricsDuty::render()
{
    const auto answer = std::make_shared<TextRing>(1);
    if (!items_.offer(answer))
        return std::nullopt;
    return answer->take();
}

void MetricsDuty::run()
{
    while (const std::optional<Item> item = items_.take())
        std::visit([this](const auto &body) { process(body); }, *item);
}

void MetricsDuty::process(const std::shared_ptr<TextRing> &answer)
{
    std::string text = metrics_.render();
    text += fmt::format(
            "# HELP carawaymount_samples_dropped_total Samples that found the ring full.\n"
            "# TYPE carawaymount_samples_dropped_total counter\n"
            "carawaymount_samples_dropped_total {}\n",
            dropped_.load());
    answer->offer(std::move(text));
}

} // namespace caraway
