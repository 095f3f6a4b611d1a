#include "Command/CellSettingsReader.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

namespace caraway {

namespace {

using cell::Address;
using cell::CellSettings;
using TomlNode = toml::node_view<const toml::node>;

struct AddressKey
{
    std::string_view name;
    Address CellSettings::*member;
    bool required = true;
};

enum class DurationUnit {
    Milliseconds,
    Seconds,
};

/// How a fraction of a millisecond is rounded; the one that keeps the bound.
enum class Rounding {
    Up,
    Down,
};

/// A bound, with a key for each unit in which it may be given.
struct DurationBound
{
    std::string_view name;
    Rounding rounding;
    Milliseconds minimum;
    Milliseconds maximum;
    Milliseconds CellSettings::*member;
};

constexpr AddressKey addressKeys[] = {
        {"callers", &CellSettings::callers}, {"readiness", &CellSettings::readiness},
        {"metrics", &CellSettings::metrics}, {"peers", &CellSettings::peers},
        {"store", &CellSettings::store},     {"approvals", &CellSettings::approvals, false},
};

constexpr Milliseconds second {1000};
constexpr Milliseconds hour = second * 3600;
constexpr Milliseconds month = hour * 720;

// A lease counts as expired and a result is removed rather late than early; the process ends rather
// early than late.
constexpr DurationBound durationBounds[] = {
        {"worker_lease", Rounding::Up, Milliseconds(100), hour, &CellSettings::workerLease},
        {"result_lifetime", Rounding::Up, second, month, &CellSettings::resultLifetime},
        {"stop_grace", Rounding::Down, Milliseconds(100), hour, &CellSettings::stopGrace},
        {"configuration_apply", Rounding::Down, second, hour, &CellSettings::configurationApply},
};

/// A whole number in the table of limits, and a member for it with its unit.
struct IntegerLimit
{
    std::string_view name;
    std::int64_t minimum;
    std::int64_t maximum;
    void (*assign)(CellSettings &settings, std::int64_t value);
};

constexpr std::int64_t bytesPerMegabyte = 1 << 20;
constexpr std::int64_t maxMegabytes = 1 << 20;
constexpr std::int64_t maxDescriptors = 1 << 24;

constexpr IntegerLimit integerLimits[] = {
        {"memory_mb", 16, maxMegabytes,
         [](CellSettings &settings, std::int64_t value) {
             settings.memory = Bytes(value * bytesPerMegabyte);
         }},
        {"descriptors", 64, maxDescriptors,
         [](CellSettings &settings, std::int64_t value) { settings.descriptors = value; }},
        {"client_connections", 8, maxDescriptors,
         [](CellSettings &settings, std::int64_t value) { settings.maxClientConnections = value; }},
        {"request_memory_mb", 1, maxMegabytes,
         [](CellSettings &settings, std::int64_t value) {
             settings.maxRequestMemory = Bytes(value * bytesPerMegabyte);
         }},
        {"header_fields", 16, maxDescriptors,
         [](CellSettings &settings, std::int64_t value) { settings.headerFields = value; }},
        {"requests_ahead", 1, maxDescriptors,
         [](CellSettings &settings, std::int64_t value) { settings.requestsAhead = value; }},
};

constexpr double millicoresPerProcessor = 1000;
constexpr double maxProcessors = 1024;

/// An InvalidSettings error that states \a file, \a key, \a problem and the remedy.
auto invalidKey(const std::string &file, std::string_view key, std::string_view problem)
{
    return fail(ErrorKind::InvalidSettings,
                fmt::format("{}: {} {}. Correct the key and start again.", file, key, problem));
}

/// The value as the file states it.
std::string textOf(const TomlNode &node)
{
    std::ostringstream text;
    text << node;
    return text.str();
}

Result<Address> parseAddress(const std::string &text, const std::string &file, std::string_view key)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos || colon == 0)
        return invalidKey(file, key, "is not an address of the form host:port");
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(begin, end, port);
    if (error != std::errc() || stop != end || port == 0)
        return invalidKey(file, key, "is not an address of the form host:port");
    return Address {text.substr(0, colon), port};
}

Result<void> readInstance(const toml::table &table, const std::string &file, CellSettings &settings)
{
    const auto instance = table["instance"];
    settings.self = InstanceId(instance["id"].value_or(std::string()));
    settings.zone = ZoneId(instance["zone"].value_or(std::string()));
    if (settings.self.isEmpty())
        return invalidKey(file, "instance.id", "is missing");
    for (const AddressKey &key : addressKeys) {
        const std::string text = instance[key.name].value_or(std::string());
        if (text.empty() && !key.required)
            continue;
        const std::string path = fmt::format("instance.{}", key.name);
        if (text.empty())
            return invalidKey(file, path, "is missing");
        BOOST_LEAF_AUTO(address, parseAddress(text, file, path));
        settings.*key.member = std::move(address);
    }
    return {};
}

Result<void> readProcessors(const toml::table &table, const std::string &file,
                            CellSettings &settings)
{
    const auto node = table["instance"]["processor_share"];
    if (!node)
        return {};
    const std::optional<double> value = node.value<double>();
    if (!value || !(*value >= 1 / millicoresPerProcessor && *value <= maxProcessors)) {
        return invalidKey(file, "instance.processor_share",
                          fmt::format("is {}, not a number of processors from {} to {}",
                                      textOf(node), 1 / millicoresPerProcessor, maxProcessors));
    }
    settings.processors = Millicores(std::llround(*value * millicoresPerProcessor));
    return {};
}

Result<Milliseconds> toMilliseconds(const TomlNode &node, const std::string &file,
                                    const std::string &key, DurationUnit unit,
                                    const DurationBound &bound)
{
    const bool isInSeconds = unit == DurationUnit::Seconds;
    const double perUnit = isInSeconds ? static_cast<double>(second.count()) : 1;
    const auto minimum = static_cast<double>(bound.minimum.count()) / perUnit;
    const auto maximum = static_cast<double>(bound.maximum.count()) / perUnit;
    const std::optional<double> value = node.value<double>();
    if (!value || !(*value >= minimum && *value <= maximum)) {
        return invalidKey(file, key,
                          fmt::format("is {}, not a number of {} from {} to {}", textOf(node),
                                      isInSeconds ? "seconds" : "milliseconds", minimum, maximum));
    }
    const double exact = *value * perUnit;
    return Milliseconds(static_cast<std::int64_t>(
            bound.rounding == Rounding::Up ? std::ceil(exact) : std::floor(exact)));
}

Result<void> readLimits(const toml::table &table, const std::string &file, CellSettings &settings)
{
    for (const IntegerLimit &limit : integerLimits) {
        const auto node = table["limits"][limit.name];
        if (!node)
            continue;
        const std::optional<std::int64_t> value = node.value<std::int64_t>();
        if (!value || *value < limit.minimum || *value > limit.maximum) {
            return invalidKey(file, fmt::format("limits.{}", limit.name),
                              fmt::format("is {}, not a whole number from {} to {}", textOf(node),
                                          limit.minimum, limit.maximum));
        }
        limit.assign(settings, *value);
    }
    return {};
}

Result<void> readBounds(const toml::table &table, const std::string &file, CellSettings &settings)
{
    for (const DurationBound &bound : durationBounds) {
        const std::string inSeconds = fmt::format("{}_s", bound.name);
        const std::string inMilliseconds = fmt::format("{}_ms", bound.name);
        const auto seconds = table["bounds"][inSeconds];
        const auto milliseconds = table["bounds"][inMilliseconds];
        if (seconds && milliseconds) {
            return invalidKey(file, fmt::format("bounds.{}", inSeconds),
                              fmt::format("is given as well as bounds.{}", inMilliseconds));
        }
        if (!seconds && !milliseconds)
            continue;
        const std::string key = fmt::format("bounds.{}", seconds ? inSeconds : inMilliseconds);
        BOOST_LEAF_AUTO(duration,
                        toMilliseconds(seconds ? seconds : milliseconds, file, key,
                                       seconds ? DurationUnit::Seconds : DurationUnit::Milliseconds,
                                       bound));
        settings.*bound.member = duration;
    }
    return {};
}

} // namespace

Result<CellSettings> readCellSettings(std::string_view text, const std::string &fileName)
{
    toml::table table;
    try {
        table = toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("{}:{}: {}. Correct the TOML.", fileName, error.source().begin.line,
                                error.description()));
    }
    CellSettings settings;
    BOOST_LEAF_CHECK(readInstance(table, fileName, settings));
    BOOST_LEAF_CHECK(readProcessors(table, fileName, settings));
    BOOST_LEAF_CHECK(readLimits(table, fileName, settings));
    BOOST_LEAF_CHECK(readBounds(table, fileName, settings));
    return settings;
}

Result<CellSettings> readCellSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(
                ErrorKind::InvalidSettings,
                fmt::format("{}: the file cannot be read. Check its path and permissions.", path));
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    return readCellSettings(text, path);
}

} // namespace caraway
