#pragma once

#include "Core/Units.h"
#include "Decisions/Fleet.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace caraway {

/// A kept-alive HTTP connection to \a endpoint whose every step ends within \a timeout.
std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &endpoint, Milliseconds timeout);

/// Lets every step of the next calls of \a client end within \a timeout.
void setTimeLimit(httplib::Client &client, Milliseconds timeout);

} // namespace caraway
