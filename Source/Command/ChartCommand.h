#pragma once

#include "Core/Error.h"

#include <string>

namespace caraway {

/// Prints the state chart \a fileName in the DOT language of Graphviz, or the file names of all
/// charts if \a fileName is empty. Fails with InvalidRequest for an unknown chart.
Result<int> printChart(const std::string &fileName);

} // namespace caraway
