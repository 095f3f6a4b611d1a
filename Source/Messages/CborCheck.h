#pragma once

#include "Core/Error.h"

#include <cstddef>
#include <string_view>

namespace caraway {

/// Deepest nesting that a message may have, in CBOR and in JSON.
constexpr std::size_t maxMessageDepth = 16;

/// Fails unless \a bytes are one whole CBOR item nested no deeper than maxMessageDepth. It
/// needs no recursion and no memory that grows with the input, so it runs before decoding.
Result<void> checkCbor(std::string_view bytes);

} // namespace caraway
