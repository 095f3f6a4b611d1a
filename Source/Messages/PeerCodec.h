#pragma once

#include "Core/Error.h"
#include "Decisions/PeerLink.h"
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
    /// The sender's life, so that a restart begins its numbers anew.
    Incarnation incarnation = {};
    /// Set on frames that may come twice; zero on the others.
    FrameNumber number = {};
};

std::string encodePeerFrame(const PeerFrame &frame);
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

} // namespace caraway
