#pragma once

#include "Cell/CellSettings.h"
#include "Core/Error.h"

#include <string>
#include <string_view>

namespace caraway {

/// Reads the settings of an entry instance of a cell; the error names file, key and remedy.
Result<cell::CellSettings> readCellSettingsFile(const std::string &path);
/// The same from text; \a fileName stands in errors.
Result<cell::CellSettings> readCellSettings(std::string_view text, const std::string &fileName);

} // namespace caraway
