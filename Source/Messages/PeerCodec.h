#pragma once

#include "Core/Error.h"
#include "Decisions/PeerMessage.h"

#include <string>
#include <string_view>

/// The CBOR encoding of what entry instances say to one another.
namespace caraway {

/// A message with its sender, as one binary frame.
struct PeerFrame
{
    InstanceId from;
    PeerMessage message;
};

std::string encodePeerFrame(const PeerFrame &frame);
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

} // namespace caraway
