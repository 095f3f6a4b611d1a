#include "Cell/CrashHistory.h"

#include <fmt/format.h>

namespace caraway::cell {

namespace {

constexpr std::size_t isolationCrashes = 2;
constexpr std::size_t maxCrashes = 5;
/// Of maxCrashes, those that have to be the task's own.
constexpr std::size_t minOwnCrashes = 3;
/// A task with so many shared crashes may be the cause of some.
constexpr std::size_t suspiciousCrashes = 2;

} // namespace

bool CrashHistory::add(const WorkerCrash &crash, bool isShared)
{
    const bool isNew = crashes_.insert(crash).second;
    if (isNew && isShared)
        shared_.insert(crash);
    return isNew;
}

bool CrashHistory::mayExplain(const WorkerCrash &crash) const
{
    const std::size_t others = count() - crashes_.count(crash);
    const bool isOwn = crashes_.contains(crash) && !shared_.contains(crash);
    return ownCount() > (isOwn ? 1U : 0U) || others >= suspiciousCrashes;
}

bool CrashHistory::needsIsolation() const
{
    return isSuspect() && count() >= isolationCrashes;
}

bool CrashHistory::shouldGiveUp() const
{
    return count() >= maxCrashes && ownCount() >= minOwnCrashes;
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
