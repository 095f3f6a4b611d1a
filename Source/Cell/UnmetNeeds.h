#pragma once

#include "Decisions/Resources.h"

#include <vector>

namespace caraway::cell {

/// Needs that are known to fit no worker. Each need that is as large in every dimension as one of
/// them fits no worker either.
class UnmetNeeds
{
public:
    /// False when \a need is known to fit no worker.
    bool mayFit(const Resources &need) const;
    void add(const Resources &need);

private:
    /// None of them fits in another.
    std::vector<Resources> needs_;
};

} // namespace caraway::cell
