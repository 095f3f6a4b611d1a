#include "Command/SettingsReader.h"

#include "Command/SettingsTable.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

namespace caraway {

namespace {

/// Reads the settings from one document and checks them against settingsTable().
class SettingsReader
{
public:
    explicit SettingsReader(const std::string &fileName)
        : fileName_(fileName)
    {
    }

    Result<ServeSettings> read(const toml::table &document)
    {
        BOOST_LEAF_CHECK(checkKeys(document));
        for (const SettingsKey &key : settingsTable()) {
            const toml::node *node = document.at_path(path(key)).node();
            BOOST_LEAF_CHECK(std::visit([&](const auto &type) { return readKey(key, type, node); },
                                        key.type));
        }
        return settings_;
    }

private:
    static std::string path(const SettingsKey &key)
    {
        return fmt::format("{}.{}", key.section, key.name);
    }

    Result<void> checkKeys(const toml::table &document) const
    {
        for (const auto &[section, node] : document) {
            const toml::table *table = node.as_table();
            if (!table)
                return errorAt(node, section.str(), "is not in a section",
                               "Move it into a section");
            for (const auto &[name, value] : *table) {
                const auto hasThisName
                        = [&, s = section.str(), n = name.str()](const SettingsKey &key) {
                              return key.section == s && key.name == n;
                          };
                if (std::ranges::none_of(settingsTable(), hasThisName)) {
                    return errorAt(value, fmt::format("{}.{}", section.str(), name.str()),
                                   "is not a known key",
                                   "Remove it or correct its name; `carawaymount settings` lists "
                                   "the keys");
                }
            }
        }
        return {};
    }

    Result<void> readKey(const SettingsKey &key, const IntegerKey &type, const toml::node *node)
    {
        if (!node)
            return {};
        const toml::value<std::int64_t> *value = node->as_integer();
        if (!value)
            return errorAt(*node, path(key), "is not a whole number",
                           fmt::format("Give a whole number of {}", key.unit));
        if (value->get() < type.minimum || value->get() > type.maximum) {
            return errorAt(*node, path(key), fmt::format("is {}", value->get()),
                           fmt::format("Use {} to {} {}", type.minimum, type.maximum, key.unit));
        }
        type.assign(settings_, value->get());
        return {};
    }

    Result<void> readKey(const SettingsKey &key, const StringKey &type, const toml::node *node)
    {
        BOOST_LEAF_AUTO(text, readString(key, node));
        type.assign(settings_, text);
        return {};
    }

    Result<void> readKey(const SettingsKey &key, const EndpointKey &type, const toml::node *node)
    {
        BOOST_LEAF_AUTO(text, readString(key, node));
        const std::size_t colon = text.rfind(':');
        Endpoint endpoint;
        if (colon != std::string::npos) {
            endpoint.host = text.substr(0, colon);
            const char *end = text.data() + text.size();
            const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
            if (parsed.ec != std::errc() || parsed.ptr != end)
                endpoint.port = 0;
        }
        if (endpoint.host.empty() || endpoint.port == 0)
            return errorAt(*node, path(key), fmt::format("is \"{}\"", text),
                           "Give it as host:port");
        type.assign(settings_, endpoint);
        return {};
    }

    Result<std::string> readString(const SettingsKey &key, const toml::node *node) const
    {
        if (!node) {
            return fail(ErrorKind::InvalidSettings,
                        fmt::format("{}: {} is missing. Add it under [{}].", fileName_, path(key),
                                    key.section));
        }
        const toml::value<std::string> *value = node->as_string();
        if (!value || value->get().empty())
            return errorAt(*node, path(key), "is not a non-empty string", "Give a value in quotes");
        return value->get();
    }

    boost::leaf::error_id errorAt(const toml::node &node, std::string_view key,
                                  std::string_view problem, std::string_view remedy) const
    {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("{}:{}: {} {}. {}.", fileName_, node.source().begin.line, key,
                                problem, remedy));
    }

    const std::string &fileName_;
    ServeSettings settings_;
};

} // namespace

Result<ServeSettings> readSettings(std::string_view text, const std::string &fileName)
{
    toml::table document;
    try {
        document = toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("{}:{}: {}. Correct the TOML.", fileName, error.source().begin.line,
                                error.description()));
    }
    return SettingsReader(fileName).read(document);
}

Result<ServeSettings> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(
                ErrorKind::InvalidSettings,
                fmt::format("{}: the file cannot be read. Check its path and permissions.", path));
    }
    const std::string text {std::istreambuf_iterator<char>(file), {}};
    return readSettings(text, path);
}

} // namespace caraway
