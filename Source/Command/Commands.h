#pragma once

#include "Core/Error.h"

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace caraway {

using Arguments = std::map<std::string, docopt::value>;

/// Exit codes of the command line.
enum ExitCode {
    ExitSuccess = 0,
    /// The job failed, was cancelled or was not run.
    ExitJobFailed = 1,
    /// The request was refused, or the arguments, the settings or a file is invalid.
    ExitRefused = 2,
    /// The outcome of the request or the state of the job is unknown, or not every instance follows
    /// a preset in time.
    ExitUnknown = 3,
    /// The entry instance did not respond.
    ExitUnreachable = 4,
};

/// The value of the argument \a name; empty if it was not given.
std::string argumentValue(const Arguments &arguments, const std::string &name);

/// Runs the subcommand that \a arguments select. Returns the exit code.
Result<int> runCommand(const Arguments &arguments);
/// The usage text that docopt parses.
const std::string &usageText();
/// The exit code for a command that failed with \a error.
int exitCodeOf(const Error &error);

} // namespace caraway
