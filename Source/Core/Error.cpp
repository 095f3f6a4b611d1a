#include "Core/Error.h"

#include <array>

namespace caraway {

namespace {

constexpr std::array kindNames = std::to_array<std::string_view>({
        "invalid_settings", "invalid_chart",       "invalid_request",
        "invalid_message",  "unknown_kind",        "unknown_team",
        "unknown_job",      "unknown_preset",      "never_fits",
        "queue_full",       "would_miss_deadline", "not_ready",
        "stopping",         "name_in_use",         "conflict",
        "cancelled",        "fate_unknown",        "task_failed",
        "unavailable",      "unreachable",
});

} // namespace

std::string_view errorKindName(ErrorKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames.at(i) == name)
            return static_cast<ErrorKind>(i);
    }
    return ErrorKind::Unavailable;
}

boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error {kind, std::move(message)});
}

} // namespace caraway
