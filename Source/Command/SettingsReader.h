#pragma once

#include "Core/Error.h"
#include "Duties/ServeSettings.h"

#include <string>
#include <string_view>

namespace caraway {

/// Reads the settings file at \a path; the error names file, line, key and remedy.
Result<ServeSettings> readSettingsFile(const std::string &path);
/// The same from text; \a fileName stands in errors.
Result<ServeSettings> readSettings(std::string_view text, const std::string &fileName);

} // namespace caraway
