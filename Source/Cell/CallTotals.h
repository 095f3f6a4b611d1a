#pragma once

#include <cstddef>

namespace caraway::cell {

/// Calls to workers, and replies that show a delay, since the last log line.
struct CallTotals
{
    std::size_t starts = 0;
    std::size_t stops = 0;
    std::size_t heartbeats = 0;
    /// Starts that the worker refused, as they arrived after their deadline.
    std::size_t lateStarts = 0;
    /// Calls of all kinds without a reply.
    std::size_t unanswered = 0;
    /// Calls of all kinds that were not sent, as no connection was made.
    std::size_t notSent = 0;
    /// Calls of all kinds that this instance did not send in time.
    std::size_t withheld = 0;
    /// Heartbeats that acknowledged completions of one incarnation and that another one has carried
    /// out, without a use of its reply.
    std::size_t unusedAcknowledgements = 0;
};

} // namespace caraway::cell
