#pragma once

#include "Core/Error.h"
#include "Duties/ServeSettings.h"

namespace caraway {

/// Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully; a second signal stops
/// it immediately. Returns the exit code. Fails with InvalidSettings if the instance cannot listen.
Result<int> serveUntilStopped(const ServeSettings &settings);

} // namespace caraway
