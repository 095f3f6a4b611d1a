#pragma once

#include "Core/Error.h"

#include <string>

namespace caraway {

/// Prints the chart as a Graphviz drawing, or the names of all charts for an empty name.
Result<int> printChart(const std::string &fileName);

} // namespace caraway
