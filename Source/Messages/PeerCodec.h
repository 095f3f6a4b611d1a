#pragma once

#include "Core/Error.h"
#include "Decisions/PeerMessage.h"

#include <cstddef>
#include <string>
#include <string_view>

/// The CBOR encoding of what entry instances say to one another.
namespace caraway {

/// Largest frame that is decoded.
constexpr std::size_t maxPeerFrameBytes = 4 << 20;

/// A message with its sender, as one binary frame.
struct PeerFrame
{
    InstanceId from;
    PeerMessage message;
};

std::string encodePeerFrame(const PeerFrame &frame);
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

} // namespace caraway
