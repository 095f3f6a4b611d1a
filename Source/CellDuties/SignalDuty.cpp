#include "CellDuties/SignalDuty.h"

#include <csignal>

namespace caraway::cell {

namespace {

/// Ends the signal thread.
constexpr int wakeSignal = SIGUSR1;

sigset_t waitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, wakeSignal);
    return signals;
}

} // namespace

void blockSignals()
{
    const sigset_t signals = waitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

SignalDuty::SignalDuty(std::function<void()> stop, std::function<void()> reload)
    : stop_(std::move(stop))
    , reload_(std::move(reload))
    , thread_([this] { run(); })
{
}

SignalDuty::~SignalDuty()
{
    pthread_kill(thread_.native_handle(), wakeSignal);
    thread_.join();
}

void SignalDuty::run()
{
    const sigset_t signals = waitedSignals();
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal == wakeSignal)
            return;
        if (signal == SIGHUP)
            reload_();
        else
            stop_();
    }
}

} // namespace caraway::cell
