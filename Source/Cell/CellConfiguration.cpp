#include "Cell/JobSpec.h"

namespace caraway::cell {

const Queue *CellConfiguration::queueAt(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &candidate : queues) {
        if (candidate.host != host || !path.starts_with(candidate.prefix))
            continue;
        if (!best || candidate.prefix.size() > best->prefix.size())
            best = &candidate;
    }
    return best;
}

} // namespace caraway::cell
