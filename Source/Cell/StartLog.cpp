#include "Cell/StartLog.h"

namespace caraway::cell {

namespace {

/// With a commit every 30 ms the log goes back four seconds, longer than most runs last.
constexpr std::uint64_t segmentCount = 128;
/// Bounds the size of a record; further starts are in the next segments.
constexpr std::size_t maxStartsPerSegment = 1000;
/// Ends of other runs normally cause a commit before that.
constexpr Milliseconds maxDelay {100};

} // namespace

void StartLog::startTerm(const std::map<std::uint64_t, StartLogSegment> &segments)
{
    endTerm();
    segments_ = segments;
    std::uint64_t highest = 0;
    for (const auto &[position, segment] : segments_) {
        if (segment.number < highest)
            continue;
        highest = segment.number;
        next_ = highest + 1;
    }
}

void StartLog::endTerm()
{
    segments_.clear();
    added_.clear();
    next_ = 0;
}

void StartLog::addStart(LoggedStart start)
{
    if (added_.empty())
        addedSince_ = context_.now();
    added_.push_back(std::move(start));
}

void StartLog::addEnd(LoggedStart start)
{
    start.hasEnded = true;
    addStart(std::move(start));
}

bool StartLog::isDue() const
{
    return hasNews() && context_.now() - addedSince_ >= maxDelay;
}

StoreWrite StartLog::takeSegment(const IsNeeded &isNeeded)
{
    const std::uint64_t position = next_ % segmentCount;
    StartLogSegment &segment = segments_[position];
    std::erase_if(segment.starts, [&](const LoggedStart &start) { return !isNeeded(start); });
    const std::size_t free
            = maxStartsPerSegment - std::min(maxStartsPerSegment, segment.starts.size());
    const auto last = added_.begin() + static_cast<std::ptrdiff_t>(std::min(free, added_.size()));
    segment.starts.insert(segment.starts.end(), std::make_move_iterator(added_.begin()),
                          std::make_move_iterator(last));
    added_.erase(added_.begin(), last);
    segment.number = next_++;
    return {{RecordType::StartLog, std::to_string(position)}, segment, {}};
}

std::vector<LoggedStart>
StartLog::openStarts(const std::map<std::uint64_t, StartLogSegment> &segments)
{
    std::map<std::pair<TaskKey, RunNumber>, LoggedStart> open;
    std::set<std::pair<TaskKey, RunNumber>> ended;
    for (const auto &[position, segment] : segments) {
        for (const LoggedStart &start : segment.starts) {
            if (start.hasEnded)
                ended.emplace(start.task, start.run);
            else
                open.insert_or_assign({start.task, start.run}, start);
        }
    }
    std::vector<LoggedStart> starts;
    for (const auto &[key, start] : open) {
        if (!ended.contains(key))
            starts.push_back(start);
    }
    return starts;
}

} // namespace caraway::cell
