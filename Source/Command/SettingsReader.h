#pragma once

#include "Core/Error.h"
#include "Duties/ServeSettings.h"

#include <string>
#include <string_view>

namespace caraway {

/// Reads the settings from the TOML file at \a path. Fails with InvalidSettings; the message
/// states the file, the line, the key and the remedy.
Result<ServeSettings> readSettingsFile(const std::string &path);
/// Parses the settings from \a text; \a fileName is used in error messages only.
Result<ServeSettings> readSettings(std::string_view text, const std::string &fileName);

} // namespace caraway
