#pragma once

#include "Cell/WorkerCalls.h"
#include "Core/Clock.h"

#include <map>
#include <set>

namespace caraway::cell {

/// How long a worker is expected to take at most to list a completion after one with a higher
/// number, or after the run has left its list of running tasks. The protocol has no such bound.
inline constexpr Milliseconds lateListingLimit {2000};

/// The numbers of the completions that one incarnation of a worker has listed, in any order, and
/// up to which it may discard them. Numbers may be left out. A list that is cut off is expected to
/// hold the lowest numbers.
class CompletionNumbers
{
public:
    /// Returns false when the completion was listed before.
    bool add(CompletionNumber number, TimePoint now);
    /// A list that was requested at \a requestedAt has been added.
    void setRead(TimePoint requestedAt) { readAt_ = std::max(readAt_, requestedAt); }
    /// The completion is in the store, or need not be.
    void setRecorded(CompletionNumber number);
    /// The worker has discarded the completions up to \a number, which was acknowledged.
    void setDiscarded(CompletionNumber number);

    bool areAllRecorded() const { return unrecorded_ == 0; }
    /// The highest number that was listed or discarded.
    CompletionNumber highest() const
    {
        return listed_.empty() ? discarded_ : listed_.rbegin()->first;
    }
    /// The highest number up to which the worker may discard all completions. Each of them is
    /// recorded, or was still missing in a list that was requested lateListingLimit after a higher
    /// one had been listed.
    CompletionNumber acknowledgeable() const;
    /// How many completions between two that were listed, up to \a number, never were. Those before
    /// the first one may have been acknowledged by an earlier holder.
    std::uint64_t missingThrough(CompletionNumber number) const;
    /// Whether listed completions cannot be acknowledged yet.
    bool mustKeepSome() const { return acknowledgeable() < highest(); }

private:
    struct Completion
    {
        TimePoint listedAt;
        bool isRecorded = false;
    };

    /// Keeps the numbers between the two, which were not listed before they were acknowledged.
    void addSkipped(CompletionNumber before, CompletionNumber after);

    CompletionNumber discarded_;
    /// Those above discarded_.
    std::map<CompletionNumber, Completion> listed_;
    /// Those up to discarded_ that were never listed; the highest of them.
    std::set<CompletionNumber> skipped_;
    std::size_t unrecorded_ = 0;
    TimePoint readAt_;
};

} // namespace caraway::cell
