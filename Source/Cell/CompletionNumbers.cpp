#include "Cell/CompletionNumbers.h"

#include <algorithm>

namespace caraway::cell {

bool CompletionNumbers::add(CompletionNumber number, TimePoint now)
{
    if (number <= discarded_ || !listed_.try_emplace(number, Completion {now}).second)
        return false;
    ++unrecorded_;
    return true;
}

void CompletionNumbers::setRecorded(CompletionNumber number)
{
    const auto found = listed_.find(number);
    if (found == listed_.end() || found->second.isRecorded)
        return;
    found->second.isRecorded = true;
    --unrecorded_;
}

void CompletionNumbers::setDiscarded(CompletionNumber number)
{
    discarded_ = std::max(discarded_, number);
    while (!listed_.empty() && listed_.begin()->first <= discarded_) {
        unrecorded_ -= listed_.begin()->second.isRecorded ? 0 : 1;
        listed_.erase(listed_.begin());
    }
}

CompletionNumber CompletionNumbers::acknowledgeable(TimePoint now) const
{
    CompletionNumber through = discarded_;
    for (const auto &[number, completion] : listed_) {
        const bool followsGap = number != through.next();
        const bool mayGapClose = followsGap && now - completion.listedAt < lateListingLimit;
        if (!completion.isRecorded || mayGapClose)
            break;
        through = number;
    }
    return through;
}

std::uint64_t CompletionNumbers::missingThrough(CompletionNumber number) const
{
    std::uint64_t missing = 0;
    CompletionNumber previous = discarded_;
    for (const auto &[listed, completion] : listed_) {
        if (listed > number)
            break;
        if (previous != CompletionNumber())
            missing += listed.value() - previous.next().value();
        previous = listed;
    }
    return missing;
}

bool CompletionNumbers::mustKeepSome(TimePoint now) const
{
    return acknowledgeable(now) < highest();
}

} // namespace caraway::cell
