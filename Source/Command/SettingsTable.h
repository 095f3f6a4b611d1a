#pragma once

#include "Duties/ServeSettings.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace caraway {

/// A key of the settings file that takes a whole number.
struct NumberKey
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
    std::int64_t fallback = 0;
    std::function<void(ServeSettings &, std::int64_t)> store;
};

/// A key of the settings file that takes text and must be given.
struct TextKey
{
    std::function<void(ServeSettings &, const std::string &)> store;
};

/// A key of the settings file that takes "host:port" and must be given.
struct EndpointKey
{
    std::function<void(ServeSettings &, const Endpoint &)> store;
};

/// One key of the settings file, as the reader checks it and the help shows it.
struct SettingsKey
{
    std::string_view section;
    std::string_view name;
    std::string_view unit;
    std::string_view help;
    std::variant<NumberKey, TextKey, EndpointKey> type;
};

/// Every key of the settings file.
const std::vector<SettingsKey> &settingsTable();

} // namespace caraway
