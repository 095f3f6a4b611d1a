#include "Command/ServeCommand.h"

#include "Duties/DecisionsDuty.h"

#include <fmt/format.h>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace caraway {

namespace {

/// Sent to the signal thread to end it when the instance has stopped.
constexpr int endSignal = SIGUSR1;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, endSignal);
    return signals;
}

/// Waits for stop signals on its own thread and forwards them to the decisions duty.
class SignalDuty
{
public:
    explicit SignalDuty(DecisionsDuty &decisions)
        : decisions_(decisions)
        , thread_([this] { run(); })
    {
    }
    ~SignalDuty()
    {
        pthread_kill(thread_.native_handle(), endSignal);
        thread_.join();
    }

private:
    void run()
    {
        if (waitForSignal() == endSignal)
            return;
        decisions_.requestStop();
        if (waitForSignal() != endSignal)
            decisions_.stopNow();
    }

    static int waitForSignal()
    {
        const sigset_t signals = handledSignals();
        int signal = 0;
        sigwait(&signals, &signal);
        return signal;
    }

    DecisionsDuty &decisions_;
    std::thread thread_;
};

} // namespace

Result<int> serveUntilStopped(const ServeSettings &settings)
{
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        DecisionsDuty decisions(settings);
        const SignalDuty signalDuty(decisions);
        decisions.run();
        return 0;
    } catch (const std::runtime_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("The instance cannot listen: {}. Free the port or set another one "
                                "under [instance].",
                                error.what()));
    }
}

} // namespace caraway
