#pragma once

#include "Duties/Rings.h"

#include <thread>

namespace caraway {

/// Writes each state change to standard error as one line.
class LogDuty
{
public:
    LogDuty(InstanceId self, std::size_t capacity);
    ~LogDuty();

    /// Queues \a change; drops it if the ring is full.
    void offer(LogChange change) { changes_.offer(std::move(change)); }

private:
    void run();

    InstanceId self_;
    Ring<LogChange> changes_;
    std::thread thread_;
};

} // namespace caraway
