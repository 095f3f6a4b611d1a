#pragma once

#include "Cell/PeerMessages.h"
#include "Core/Error.h"

#include <string>
#include <string_view>

namespace caraway::cell {

/// Encodes a frame between instances as CBOR.
std::string encodeCellFrame(const PeerFrame &frame);
/// Decodes a frame; fails with InvalidMessage when \a bytes are malformed or of another frame
/// version.
Result<PeerFrame> decodeCellFrame(std::string_view bytes);

} // namespace caraway::cell
