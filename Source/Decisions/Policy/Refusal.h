#pragma once

#include "Core/Error.h"
#include "Core/Units.h"

namespace caraway {

/// Why a job is refused, and the delay after which the caller may submit it again.
struct Refusal
{
    Error error;
    Milliseconds retryAfter;
};

} // namespace caraway
