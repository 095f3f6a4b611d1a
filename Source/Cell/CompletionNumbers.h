#pragma once

#include "Cell/WorkerCalls.h"
#include "Core/Clock.h"

#include <map>

namespace caraway::cell {

/// A worker may list a completion this long after one with a higher number, or after the run has
/// left its list of running tasks.
inline constexpr Milliseconds lateListingLimit {2000};

/// The numbers of the completions that one incarnation of a worker has listed, in any order, and
/// up to which it may discard them.
class CompletionNumbers
{
public:
    /// Returns false when the completion was listed before, or has been discarded.
    bool add(CompletionNumber number, TimePoint now);
    /// The completion is in the store, or need not be.
    void setRecorded(CompletionNumber number);
    /// The worker has discarded the completions up to \a number, which it was told to.
    void setDiscarded(CompletionNumber number);

    bool areAllRecorded() const { return unrecorded_ == 0; }
    /// The highest number that was listed or discarded.
    CompletionNumber highest() const
    {
        return listed_.empty() ? discarded_ : listed_.rbegin()->first;
    }
    /// The highest number up to which the worker may discard all completions: they are recorded,
    /// and a number that is missing among them has been for longer than lateListingLimit.
    CompletionNumber acknowledgeable(TimePoint now) const;
    /// How many completions between two that were listed, up to \a number, never were. Those before
    /// the first one may have been acknowledged by an earlier holder.
    std::uint64_t missingThrough(CompletionNumber number) const;
    /// Whether listed completions cannot be acknowledged yet.
    bool mustKeepSome(TimePoint now) const;

private:
    struct Completion
    {
        TimePoint listedAt;
        bool isRecorded = false;
    };

    CompletionNumber discarded_;
    /// Those above discarded_.
    std::map<CompletionNumber, Completion> listed_;
    std::size_t unrecorded_ = 0;
};

} // namespace caraway::cell
