#include "Command/PresetReader.h"

#include "Messages/PresetCodec.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <sstream>

namespace caraway {

namespace {

/// The same document as JSON, so that one decoder checks presets from every source.
std::string toJsonText(const toml::table &document)
{
    std::ostringstream text;
    text << toml::json_formatter {document};
    return text.str();
}

} // namespace

Result<Preset> readPresetFile(const std::string &path)
{
    toml::table document;
    try {
        document = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("{}:{}: {}. Correct the TOML.", path, error.source().begin.line,
                                error.description()));
    }
    BOOST_LEAF_AUTO(json, parseJson(toJsonText(document)));
    return boost::leaf::try_handle_some([&] { return decodePreset(json); },
                                        [&](const Error &error) -> Result<Preset> {
                                            return fail(ErrorKind::InvalidSettings,
                                                        fmt::format("{}: {}", path, error.message));
                                        });
}

} // namespace caraway
