#include "CellDuties/SignalDuty.h"

#include <csignal>

namespace caraway::cell {

namespace {

/// Sent to the signal thread to end it.
constexpr int endSignal = SIGUSR1;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, endSignal);
    return signals;
}

} // namespace

void blockSignals()
{
    const sigset_t signals = handledSignals();
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
    pthread_kill(thread_.native_handle(), endSignal);
    thread_.join();
}

void SignalDuty::run()
{
    const sigset_t signals = handledSignals();
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal == endSignal)
            return;
        if (signal == SIGHUP)
            reload_();
        else
            stop_();
    }
}

} // namespace caraway::cell
