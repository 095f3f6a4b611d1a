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
    /// The job ran and failed, or was not run.
    ExitJobFailed = 1,
    /// The command was refused or the settings are wrong.
    ExitRefused = 2,
    /// It is not known what became of the request.
    ExitUnknown = 3,
    /// No entry instance answered.
    ExitUnreachable = 4,
};

/// The text of an argument; empty where it was not given.
std::string textOf(const Arguments &arguments, const std::string &name);

/// Runs the subcommand that \a arguments name; the result is the exit code.
Result<int> runCommand(const Arguments &arguments);
/// The usage text that docopt parses.
const std::string &usageText();
/// The exit code for a command that failed with \a error.
int exitCodeOf(const Error &error);

} // namespace caraway
