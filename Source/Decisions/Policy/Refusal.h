#pragma once

#include "Core/Error.h"
#include "Core/Units.h"

namespace caraway {

/// Why a job is not taken, and when it makes sense to ask again.
struct Refusal
{
    Error error;
    Milliseconds retryAfter;
};

} // namespace caraway
