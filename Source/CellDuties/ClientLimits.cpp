#include "CellDuties/ClientLimits.h"

#include <fmt/format.h>

namespace caraway::cell {

namespace {

constexpr std::array refusalNames = {"connections",   "memory",         "body_size", "header_size",
                                     "header_fields", "requests_ahead", "timeout"};
static_assert(refusalNames.size() == ClientLimits::refusals);

} // namespace

std::string ClientLimits::render() const
{
    std::string text = "# HELP carawaymount_clients_refused_total Requests refused and connections "
                       "closed as clients exceeded a limit.\n"
                       "# TYPE carawaymount_clients_refused_total counter\n";
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        text += fmt::format("carawaymount_clients_refused_total{{reason=\"{}\"}} {}\n",
                            refusalNames.at(i), counts_.at(i).load());
    }
    return text;
}

std::uint64_t ClientLimits::total() const
{
    std::uint64_t total = 0;
    for (const std::atomic<std::uint64_t> &count : counts_)
        total += count;
    return total;
}

} // namespace caraway::cell
