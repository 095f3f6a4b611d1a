#pragma once

#include "Core/Error.h"
#include "Duties/ServeSettings.h"

namespace caraway {

/// Serves until SIGTERM or SIGINT, then stops gracefully; a second signal stops at once.
Result<int> serveUntilStopped(const ServeSettings &settings);

} // namespace caraway
