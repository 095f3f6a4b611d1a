#include "Decisions/Resources.h"

#include <algorithm>

namespace caraway {

namespace {

template<class Amount>
std::int64_t timesInDimension(Amount needs, Amount capacity, std::int64_t most)
{
    if (needs.count() <= 0)
        return capacity.count() < 0 ? 0 : most;
    return std::clamp<std::int64_t>(capacity.count() / needs.count(), 0, most);
}

template<class Amount>
double shareInDimension(Amount part, Amount whole)
{
    if (part.count() <= 0)
        return 0;
    // A dimension that the whole lacks counts as fully used.
    if (whole.count() <= 0)
        return 1;
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

Resources &Resources::operator+=(const Resources &other)
{
    processors += other.processors;
    memory += other.memory;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    processors -= other.processors;
    memory -= other.memory;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
}

std::string Resources::firstExceededDimension(const Resources &capacity) const
{
    if (processors > capacity.processors)
        return "processors";
    if (memory > capacity.memory)
        return "memory";
    if (accelerators > capacity.accelerators)
        return "accelerators";
    if (slots > capacity.slots)
        return "slots";
    return {};
}

std::int64_t Resources::timesIn(const Resources &capacity, std::int64_t most) const
{
    return std::min({timesInDimension(processors, capacity.processors, most),
                     timesInDimension(memory, capacity.memory, most),
                     timesInDimension(accelerators, capacity.accelerators, most),
                     timesInDimension(slots, capacity.slots, most)});
}

double Resources::dominantShareOf(const Resources &whole) const
{
    return std::max({shareInDimension(processors, whole.processors),
                     shareInDimension(memory, whole.memory),
                     shareInDimension(accelerators, whole.accelerators),
                     shareInDimension(slots, whole.slots)});
}

} // namespace caraway
