#pragma once

#include "Core/Error.h"
#include "Decisions/PeerLink.h"
#include "Decisions/PeerMessage.h"

#include <cstddef>
#include <string>
#include <string_view>

/// CBOR encoding of the messages between entry instances.
namespace caraway {

/// Maximum size of a frame that is decoded.
constexpr std::size_t maxPeerFrameBytes = 4 << 20;

/// A message between entry instances, with its sender.
struct PeerFrame
{
    InstanceId from;
    PeerMessage message;
    /// The sender's incarnation; each starts its frame numbers afresh.
    Incarnation incarnation = {};
    /// Identifies frames that may be sent again, for deduplication; zero on other frames.
    FrameNumber number = {};
};

std::string encodePeerFrame(const PeerFrame &frame);
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

} // namespace caraway
