#include "Command/PresetReader.h"

#include "Messages/PresetCodec.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <optional>
#include <sstream>

namespace caraway {

namespace {

/// Converts \a document to JSON, so that the decoder for presets in requests checks files too.
std::string convertToJson(const toml::table &document)
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
    BOOST_LEAF_AUTO(json, parseJson(convertToJson(document)));
    // The handler only copies the message: an error created inside a LEAF handler would be lost
    // when the context of the handler is destroyed.
    std::string problem;
    std::optional<Preset> preset = recoverFrom(
            [&]() -> Result<std::optional<Preset>> {
                BOOST_LEAF_AUTO(decoded, decodePreset(json));
                return std::optional<Preset>(std::move(decoded));
            },
            [&](const Error &error) {
                problem = error.message;
                return std::optional<Preset>();
            });
    if (!preset)
        return fail(ErrorKind::InvalidSettings, fmt::format("{}: {}", path, problem));
    return std::move(*preset);
}

} // namespace caraway
