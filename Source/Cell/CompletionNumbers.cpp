#include "Cell/CompletionNumbers.h"

#include <algorithm>

namespace caraway::cell {

namespace {

constexpr std::size_t maxSkipped = 1000;

} // namespace

bool CompletionNumbers::add(CompletionNumber number, TimePoint now)
{
    if (number <= discarded_)
        return skipped_.erase(number) > 0;
    if (!listed_.try_emplace(number, Completion {now}).second)
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
    while (!listed_.empty() && listed_.begin()->first <= number) {
        const auto &[lowest, completion] = *listed_.begin();
        addSkipped(discarded_, lowest);
        discarded_ = lowest;
        unrecorded_ -= completion.isRecorded ? 0 : 1;
        listed_.erase(listed_.begin());
    }
    discarded_ = std::max(discarded_, number);
}

void CompletionNumbers::addSkipped(CompletionNumber before, CompletionNumber after)
{
    const std::uint64_t count = after.value() - before.next().value();
    for (std::uint64_t i = 1; i <= std::min<std::uint64_t>(count, maxSkipped); ++i)
        skipped_.emplace(after.value() - i);
    while (skipped_.size() > maxSkipped)
        skipped_.erase(skipped_.begin());
}

CompletionNumber CompletionNumbers::acknowledgeable() const
{
    CompletionNumber through = discarded_;
    for (const auto &[number, completion] : listed_) {
        const bool followsGap = number != through.next();
        const bool mayGapClose = followsGap && readAt_ - completion.listedAt < lateListingLimit;
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

} // namespace caraway::cell
