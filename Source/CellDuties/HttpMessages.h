#pragma once

#include "Cell/CellTypes.h"

#include <string>
#include <utility>
#include <vector>

namespace caraway::cell {

/// An HTTP request to send, or one that was received.
struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class HttpOutcome {
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// Likewise, as the time until which it may be sent was over, and the calling thread is late.
    Expired,
    /// At least a part of the request was sent, and no response was received.
    Unanswered,
};

/// The response to a sent request; status and body are set when the outcome is Answered.
struct HttpResponse
{
    HttpOutcome outcome = HttpOutcome::Unanswered;
    int status = 0;
    std::string body;
};

/// The answer to a received request.
struct HttpReply
{
    int status = 200;
    std::string body;
    /// Value of the Retry-After header in seconds; 0 for no header.
    std::int64_t retryAfterSeconds = 0;
    /// Value of the WWW-Authenticate header; empty for no header.
    std::string challenge = {};
};

} // namespace caraway::cell
