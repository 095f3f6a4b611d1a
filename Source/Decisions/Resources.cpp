#include "Decisions/Resources.h"

namespace caraway {

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

} // namespace caraway
