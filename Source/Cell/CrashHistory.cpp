#include "Cell/CrashHistory.h"

#include <fmt/format.h>

namespace caraway::cell {

namespace {

constexpr std::size_t maxExplained = 1;
constexpr std::size_t maxCrashesAsOnlySuspect = 3;
constexpr std::size_t maxCrashesWithCommonCause = 4;
/// Leaves a start for a crash that was missed with an earlier holder.
constexpr std::size_t maxCrashesAsMainSuspect = 4;
/// A sound task may have run on several workers that other tasks crashed.
constexpr std::size_t maxCrashesOnSharedWorkers = 5;
/// Also if another job explains one of them.
constexpr std::size_t maxCrashes = 5;

} // namespace

void CrashHistory::explain(const WorkerCrash &crash)
{
    if (crashes_.contains(crash) && explained_.size() < maxExplained)
        explained_.insert(crash);
}

bool CrashHistory::shouldGiveUp(CrashEvidence evidence) const
{
    if (count() >= maxCrashes)
        return true;
    switch (evidence) {
    case CrashEvidence::OnlySuspect:
        return unexplained() >= maxCrashesAsOnlySuspect;
    case CrashEvidence::CommonCause:
        return unexplained() >= maxCrashesWithCommonCause;
    case CrashEvidence::MainSuspect:
        return unexplained() >= maxCrashesAsMainSuspect;
    case CrashEvidence::SharedWorker:
        return unexplained() >= maxCrashesOnSharedWorkers;
    }
    return false;
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
