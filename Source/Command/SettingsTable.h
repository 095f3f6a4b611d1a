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

/// The type of an optional key with an integer value; the range includes both bounds.
struct IntegerKey
{
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::int64_t defaultValue = 0;
    std::function<void(ServeSettings &, std::int64_t)> assign;
};

/// The type of a required key with a non-empty string value.
struct StringKey
{
    std::function<void(ServeSettings &, const std::string &)> assign;
};

/// The type of a required key with a value of the form "host:port".
struct EndpointKey
{
    std::function<void(ServeSettings &, const Endpoint &)> assign;
};

/// A key of the settings file: how its value is checked, and its description for users.
struct SettingsKey
{
    std::string_view section;
    std::string_view name;
    std::string_view unit;
    std::string_view help;
    std::variant<IntegerKey, StringKey, EndpointKey> type;
};

/// All keys of the settings file.
const std::vector<SettingsKey> &settingsTable();

} // namespace caraway
