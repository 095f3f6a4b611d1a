#include "Cell/CrashHistory.h"

#include <fmt/format.h>

namespace caraway::cell {

namespace {

constexpr std::size_t isolationCrashes = 2;
constexpr std::size_t maxCrashes = 5;

} // namespace

bool CrashHistory::needsIsolation() const
{
    return count() >= isolationCrashes;
}

bool CrashHistory::shouldGiveUp() const
{
    return count() >= maxCrashes;
}

std::string CrashHistory::describe() const
{
    std::string text;
    for (const WorkerCrash &crash : crashes_) {
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", crash.worker.value(),
                            crash.incarnation.value());
    }
    return text;
}

} // namespace caraway::cell
