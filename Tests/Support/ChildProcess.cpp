#include "Support/ChildProcess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace caraway::tests {

namespace {

constexpr int waitStepMs = 5;

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (std::string &word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    id_ = fork();
    if (id_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (id_ > 0)
        ::kill(id_, number);
}

void ChildProcess::kill()
{
    if (id_ <= 0)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    waitpid(id_, nullptr, 0);
    id_ = -1;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (id_ <= 0)
        return false;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return true;
    id_ = -1;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

int ChildProcess::waitForExit(int limitMs)
{
    for (int waited = 0; waited < limitMs && isRunning(); waited += waitStepMs)
        std::this_thread::sleep_for(std::chrono::milliseconds(waitStepMs));
    return isRunning() ? -1 : exitCode_;
}

} // namespace caraway::tests
