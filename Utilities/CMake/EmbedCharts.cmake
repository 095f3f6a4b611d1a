# embed_charts(<output> <chart>...)
#
# Generates the source file <output>, which contains every state chart as a string literal, so
# that the program needs no chart files at run time.
function(embed_charts output)
  set(entries "")
  foreach(chart IN LISTS ARGN)
    get_filename_component(name "${chart}" NAME)
    file(READ "${chart}" text)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS "${chart}")
    string(APPEND entries "    {\"${name}\", R\"chart(${text})chart\"},\n")
  endforeach()
  file(CONFIGURE OUTPUT "${output}" @ONLY CONTENT
"#include \"Core/EmbeddedCharts.h\"

namespace caraway {

const std::vector<EmbeddedChart> &embeddedCharts()
{
    static const std::vector<EmbeddedChart> charts = {
@entries@    };
    return charts;
}

} // namespace caraway
")
endfunction()
