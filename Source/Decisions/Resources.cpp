#include "Decisions/Resources.h"

#include <algorithm>

namespace caraway {

namespace {

template<class Amount>
std::int64_t timesInDimension(Amount needs, Amount room, std::int64_t most)
{
    if (needs.count() <= 0)
        return most;
    return std::clamp<std::int64_t>(room.count() / needs.count(), 0, most);
}

template<class Amount>
double shareOfDimension(Amount part, Amount whole)
{
    if (part.count() <= 0)
        return 0;
    // What the whole lacks counts as taken entirely.
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

bool Resources::fitsIn(const Resources &room) const
{
    return processors <= room.processors && memory <= room.memory
            && accelerators <= room.accelerators && slots <= room.slots;
}

std::string Resources::firstExcessOver(const Resources &room) const
{
    if (processors > room.processors)
        return "processors";
    if (memory > room.memory)
        return "memory";
    if (accelerators > room.accelerators)
        return "accelerators";
    if (slots > room.slots)
        return "slots";
    return {};
}

std::int64_t Resources::timesIn(const Resources &room, std::int64_t most) const
{
    return std::min({timesInDimension(processors, room.processors, most),
                     timesInDimension(memory, room.memory, most),
                     timesInDimension(accelerators, room.accelerators, most),
                     timesInDimension(slots, room.slots, most)});
}

double Resources::dominantShareOf(const Resources &whole) const
{
    return std::max({shareOfDimension(processors, whole.processors),
                     shareOfDimension(memory, whole.memory),
                     shareOfDimension(accelerators, whole.accelerators),
                     shareOfDimension(slots, whole.slots)});
}

} // namespace caraway
