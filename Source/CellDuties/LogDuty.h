#pragma once

#include "Core/Clock.h"
#include "Core/Ring.h"

#include <atomic>
#include <string>
#include <thread>

namespace caraway::cell {

/// Writes log lines to standard output. Lines beyond the rate are dropped and counted, and no
/// duty ever waits for the output.
class LogDuty
{
public:
    explicit LogDuty(const Clock &clock);
    ~LogDuty();

    void offer(std::string line);
    std::uint64_t dropped() const { return dropped_; }

private:
    void run();
    void writeBlock(std::string block);

    const Clock &clock_;
    Ring<std::string> lines_;
    std::atomic<std::uint64_t> dropped_ = 0;
    /// Of the decisions' thread: the second that is counted, and its lines.
    std::int64_t second_ = 0;
    std::size_t linesInSecond_ = 0;
    std::thread thread_;
};

} // namespace caraway::cell
