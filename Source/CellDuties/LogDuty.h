#pragma once

#include "Core/Clock.h"
#include "Core/Ring.h"

#include <atomic>
#include <string>
#include <thread>

namespace caraway::cell {

/// Writes log lines to standard output. Lines above the maximum rate, or for which the ring is
/// full, are dropped and counted, so that no duty blocks on the output.
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
    /// The second for which lines are counted, and their number. Used by the thread of the
    /// decisions.
    std::int64_t currentSecond_ = 0;
    std::size_t linesInSecond_ = 0;
    std::thread thread_;
};

} // namespace caraway::cell
