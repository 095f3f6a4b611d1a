#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace caraway {

/// Error codes that callers and operators can act on.
enum class ErrorKind {
    InvalidSettings,
    InvalidChart,
    InvalidRequest,
    InvalidMessage,
    UnknownKind,
    UnknownTeam,
    UnknownJob,
    UnknownPreset,
    NeverFits,
    QueueFull,
    WouldMissDeadline,
    NotReady,
    Stopping,
    NameInUse,
    Conflict,
    Cancelled,
    OutcomeUnknown,
    TaskFailed,
    Unavailable,
    Unreachable,
};

/// The name of \a kind in messages and logs, for example "never_fits".
std::string_view errorKindName(ErrorKind kind);
/// The kind with that name; Unavailable if the name is unknown.
ErrorKind errorKindFromName(std::string_view name);

/// An error. The message states what happened and, in its last sentence, the remedy.
struct Error
{
    ErrorKind kind = ErrorKind::Unavailable;
    std::string message;
};

template<class T>
using Result = boost::leaf::result<T>;

/// Creates an error; a function that returns Result fails by returning it.
boost::leaf::error_id fail(ErrorKind kind, std::string message);

/// Calls \a function and returns its value; if it fails, returns the result of \a handler,
/// called with the error.
template<class Function, class Handler>
auto recoverFrom(Function &&function, Handler &&handler)
{
    return boost::leaf::try_handle_all(
            std::forward<Function>(function), [&](const Error &error) { return handler(error); },
            [&] {
                return handler(Error {ErrorKind::Unavailable,
                                      "An unclassified error occurred. Report it with the log."});
            });
}

} // namespace caraway
