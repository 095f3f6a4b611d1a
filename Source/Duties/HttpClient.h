#pragma once

#include "Core/Units.h"
#include "Decisions/Fleet.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace caraway {

/// A kept-alive HTTP connection to \a endpoint whose every step ends within \a timeout.
std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &endpoint, Milliseconds timeout);

} // namespace caraway
