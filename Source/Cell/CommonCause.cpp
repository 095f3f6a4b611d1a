#include "Cell/CommonCause.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Machines that lose power together do not end in the same millisecond.
constexpr Milliseconds coincidenceMargin {500};
/// Fewer workers may crash together by chance.
constexpr std::size_t minWorkersDown = 3;
/// As many are a common cause in a fleet of any size, such as a rack that lost power.
constexpr std::size_t certainWorkersDown = 10;
/// The least share of a small fleet (1/3).
constexpr std::size_t downDivisor = 3;

} // namespace

bool WorkerOutage::hasRunOf(const JobId &job) const
{
    return std::any_of(runs.begin(), runs.end(),
                       [&](const TaskKey &task) { return task.job == job; });
}

bool WorkerOutage::coincidesWith(const WorkerOutage &other) const
{
    return from <= other.until + coincidenceMargin && other.from <= until + coincidenceMargin;
}

bool CommonCause::explains(const Others &others)
{
    if (isCertain(others))
        return true;
    const std::size_t informative = others.down + others.stayedUp;
    // Without a survivor, suspects on the other workers explain less than one cause for all.
    if (others.down >= minWorkersDown && others.stayedUp == 0)
        return informative >= others.unknown;
    const std::size_t unexplained = others.down - others.explained;
    return unexplained >= minWorkersDown
            && unexplained * downDivisor >= unexplained + others.stayedUp;
}

bool CommonCause::isCertain(const Others &others)
{
    return others.down - others.explained >= certainWorkersDown;
}

} // namespace caraway::cell
