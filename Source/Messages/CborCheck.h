#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string_view>

namespace caraway {

/// Maximum nesting depth of a message, in CBOR and in JSON.
constexpr std::size_t maxMessageDepth = 16;

/// Fails with InvalidMessage unless \a bytes are exactly one complete CBOR item, nested at most
/// maxMessageDepth deep. It uses neither recursion nor memory in proportion to the input, so it is
/// safe to run on untrusted input before the decoder.
Result<void> checkCbor(std::string_view bytes);

} // namespace caraway
