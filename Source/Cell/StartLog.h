#pragma once

#include "Cell/CellContext.h"
#include "Cell/Records.h"

#include <map>

namespace caraway::cell {

/// The starts of the current runs, in segments of the store that are overwritten in turn. The
/// holder writes a segment along with other records, after the starts were sent, so that no start
/// waits for the store. The next holder reads from it under which tasks a worker has crashed.
/// Starts of the last moments may be missing.
class StartLog
{
public:
    /// Whether a later holder may need the start: the run may be on the worker, or may have ended
    /// there with a crash that is not counted yet.
    using IsNeeded = std::function<bool(const LoggedStart &)>;

    explicit StartLog(const CellContext &context)
        : context_(context)
    {
    }

    /// Continues the log of the earlier holders, which consists of \a segments.
    void startTerm(const std::map<std::uint64_t, StartLogSegment> &segments);
    void endTerm();
    void addStart(LoggedStart start);
    /// The run ended, or cannot start, and not with a crash of the worker.
    void addEnd(LoggedStart start);
    /// Whether a commit should be made for the log alone.
    bool isDue() const;
    bool hasNews() const { return !added_.empty(); }
    /// The next segment to write. Starts of the overwritten segment that are still needed are
    /// written again.
    StoreWrite takeSegment(const IsNeeded &isNeeded);

    /// The starts in \a segments whose runs are not known to have ended.
    static std::vector<LoggedStart>
    openStarts(const std::map<std::uint64_t, StartLogSegment> &segments);

private:
    const CellContext &context_;
    std::map<std::uint64_t, StartLogSegment> segments_;
    std::uint64_t next_ = 0;
    std::vector<LoggedStart> added_;
    /// When the first of added_ was added.
    TimePoint addedSince_;
};

} // namespace caraway::cell
