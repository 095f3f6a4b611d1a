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

/// Every chart of the folder Charts, by file name.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace caraway
