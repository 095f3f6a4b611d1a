#pragma once

#include "Core/Error.h"
#include "Decisions/Preset.h"

#include <string>

namespace caraway {

/// Reads a preset from the TOML file at \a path. Fails with InvalidSettings; the message states the
/// file, the field and the remedy.
Result<Preset> readPresetFile(const std::string &path);

} // namespace caraway
