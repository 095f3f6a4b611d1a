#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace caraway::tests {

/// A process started for a test; it is killed with the fixture at the latest.
class ChildProcess
{
public:
    /// Starts \a command; its standard error goes to \a logFile.
    ChildProcess(std::vector<std::string> command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and waits.
    void kill();
    /// Waits for the end; -1 when it does not come within \a limitMs.
    int waitForExit(int limitMs);
    bool isRunning();
    pid_t id() const { return id_; }

private:
    pid_t id_ = -1;
    int exitCode_ = -1;
};

} // namespace caraway::tests
