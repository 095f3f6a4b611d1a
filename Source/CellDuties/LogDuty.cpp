#include "CellDuties/LogDuty.h"

#include <cstdio>

namespace caraway::cell {

namespace {

constexpr std::size_t ringCapacity = 8192;
/// Enough for several lines for each task and request at the peak load.
constexpr std::size_t maxLinesPerSecond = 3000;
constexpr std::size_t maxBlockBytes = 64 << 10;
constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

LogDuty::LogDuty(const Clock &clock)
    : clock_(clock)
    , lines_(ringCapacity)
    , thread_([this] { run(); })
{
}

LogDuty::~LogDuty()
{
    lines_.close();
    thread_.join();
}

void LogDuty::offer(std::string line)
{
    const std::int64_t second = clock_.now().sinceStart().count() / millisecondsPerSecond;
    if (second != currentSecond_) {
        currentSecond_ = second;
        linesInSecond_ = 0;
    }
    if (++linesInSecond_ > maxLinesPerSecond || !lines_.offer(std::move(line)))
        ++dropped_;
}

void LogDuty::run()
{
    while (std::optional<std::string> line = lines_.take())
        writeBlock(std::move(*line));
    // Lines that were offered before the ring was closed.
    if (std::optional<std::string> line = lines_.tryTake())
        writeBlock(std::move(*line));
}

void LogDuty::writeBlock(std::string block)
{
    block.push_back('\n');
    while (block.size() < maxBlockBytes) {
        const std::optional<std::string> next = lines_.tryTake();
        if (!next)
            break;
        block += *next;
        block.push_back('\n');
    }
    std::fwrite(block.data(), 1, block.size(), stdout);
    std::fflush(stdout);
}

} // namespace caraway::cell
