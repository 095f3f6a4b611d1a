#pragma once

#include <string_view>
#include <vector>

namespace caraway {

/// The text of one state chart file, compiled into the binary.
struct EmbeddedChart
{
    std::string_view fileName;
    std::string_view text;
};

/// All chart files of the directory Charts.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace caraway
