#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace caraway {

/// The kinds of error that callers and operators can act on.
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
    FateUnknown,
    TaskFailed,
    Unavailable,
    Unreachable,
};

/// The name of \a kind in answers and logs, for example "never_fits".
std::string_view errorKindName(ErrorKind kind);
/// The kind with that name; Unavailable where there is none.
ErrorKind errorKindFromName(std::string_view name);

/// An error: what happened, and in its last sentence what to do about it.
struct Error
{
    ErrorKind kind = ErrorKind::Unavailable;
    std::string message;
};

template<class T>
using Result = boost::leaf::result<T>;

/// Fails the calling function with an error of this kind.
boost::leaf::error_id fail(ErrorKind kind, std::string message);

/// Runs \a attempt; when it fails, returns what \a recover makes of the error.
template<class Attempt, class Recover>
auto recoverFrom(Attempt &&attempt, Recover &&recover)
{
    return boost::leaf::try_handle_all(
            std::forward<Attempt>(attempt), [&](const Error &error) { return recover(error); },
            [&] {
                return recover(
                        Error {ErrorKind::Unavailable,
                               "An error of no known kind occurred. Report it with the log."});
            });
}

} // namespace caraway
