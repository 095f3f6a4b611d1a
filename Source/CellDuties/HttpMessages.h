#pragma once

#include "Cell/CellTypes.h"

#include <string>
#include <utility>
#include <vector>

namespace caraway::cell {

/// One HTTP request, to be sent or received.
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
    /// The request was sent, wholly or in part, and not answered.
    Unanswered,
};

struct HttpResponse
{
    HttpOutcome outcome = HttpOutcome::Unanswered;
    int status = 0;
    std::string body;
};

/// An answer to a caller.
struct HttpReply
{
    int status = 200;
    std::string body;
    /// Whole seconds for Retry-After; 0 for none.
    std::int64_t retryAfterSeconds = 0;
};

} // namespace caraway::cell
