#pragma once

#include "Core/Units.h"
#include "Decisions/Fleet.h"

#include <httplib.h>

#include <memory>
#include <string>

namespace caraway {

/// Creates an HTTP client for \a endpoint with keep-alive. Connecting, each read and each write
/// end within \a timeout.
std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &endpoint, Milliseconds timeout);

/// Sets the timeout for connecting, each read and each write of the next calls of \a client.
void setTimeouts(httplib::Client &client, Milliseconds timeout);

} // namespace caraway
