#pragma once

#include "Core/Error.h"
#include "Decisions/Preset.h"

#include <string>

namespace caraway {

/// Reads a preset from a TOML file; the error names the file, the field and the remedy.
Result<Preset> readPresetFile(const std::string &path);

} // namespace caraway
