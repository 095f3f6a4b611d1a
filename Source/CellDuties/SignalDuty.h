#pragma once

#include <functional>
#include <thread>

namespace caraway::cell {

/// Blocks the signals that SignalDuty waits for in this thread and in the threads that it creates
/// later, and ignores SIGPIPE in the process.
void blockSignals();

/// Waits for signals on a thread of its own.
class SignalDuty
{
public:
    /// \a stop is called on SIGTERM and SIGINT, \a reload on SIGHUP.
    SignalDuty(std::function<void()> stop, std::function<void()> reload);
    ~SignalDuty();

private:
    void run();

    std::function<void()> stop_;
    std::function<void()> reload_;
    std::thread thread_;
};

} // namespace caraway::cell
