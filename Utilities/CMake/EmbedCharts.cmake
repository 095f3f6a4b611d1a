# Writes a source file that holds every state chart as a string, so that the
# binary needs no files beside it.
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
