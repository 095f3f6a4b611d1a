#include "Cell/UnmetNeeds.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Bounds the comparisons for one candidate.
constexpr std::size_t maxNeeds = 8;

} // namespace

bool UnmetNeeds::mayFit(const Resources &need) const
{
    return std::none_of(needs_.begin(), needs_.end(),
                        [&](const Resources &known) { return known.fitsIn(need); });
}

void UnmetNeeds::add(const Resources &need)
{
    std::erase_if(needs_, [&](const Resources &known) { return need.fitsIn(known); });
    if (needs_.size() < maxNeeds)
        needs_.push_back(need);
}

} // namespace caraway::cell
