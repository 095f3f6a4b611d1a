#include "Cell/EligibleWorkers.h"

namespace caraway::cell {

void EligibleWorkers::add(WorkerOption &option)
{
    options_.push_back(&option);
    isMember_[option.position] = true;
    if (!option.isOvercommitted)
        available_.push_back(&option);
}

} // namespace caraway::cell
