#pragma once

#include "Cell/CellSettings.h"
#include "Core/Error.h"

#include <string>
#include <string_view>

namespace caraway {

/// Reads the settings of an entry instance of a cell from the TOML file at \a path. Fails with
/// InvalidSettings; the message states the file, the key and the remedy.
Result<cell::CellSettings> readCellSettingsFile(const std::string &path);
/// Parses the settings from \a text; \a fileName is used in error messages only.
Result<cell::CellSettings> readCellSettings(std::string_view text, const std::string &fileName);

} // namespace caraway
