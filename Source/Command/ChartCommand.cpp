#include "Command/ChartCommand.h"

#include "Decisions/CallBreaker.h"
#include "Decisions/Instance.h"
#include "Decisions/PeerLink.h"
#include "Decisions/WorkerHealth.h"
#include "Decisions/WorkerSession.h"

#include <fmt/format.h>

#include <vector>

namespace caraway {

namespace {

struct NamedChart
{
    std::string_view fileName;
    const StateChart &chart;
};

template<HasStateChart Host>
NamedChart chartOf()
{
    return {Host::chart().fileName, Host::chart().chart};
}

const std::vector<NamedChart> &charts()
{
    static const std::vector<NamedChart> all
            = {chartOf<Instance>(),    chartOf<ShardLease>(),    chartOf<JobRecord>(),
               chartOf<Task>(),        chartOf<WorkerSession>(), chartOf<WorkerHealth>(),
               chartOf<CallBreaker>(), chartOf<PeerLink>(),      chartOf<ForwardedRequest>(),
               chartOf<PresetChange>()};
    return all;
}

} // namespace

Result<int> printChart(const std::string &fileName)
{
    for (const NamedChart &candidate : charts()) {
        if (fileName.empty())
            fmt::print("{}\n", candidate.fileName);
        else if (candidate.fileName == fileName)
            fmt::print("{}", candidate.chart.toGraphviz());
        else
            continue;
        if (!fileName.empty())
            return 0;
    }
    if (fileName.empty())
        return 0;
    return fail(ErrorKind::InvalidRequest,
                fmt::format("There is no chart {}. `carawaymount chart` lists them.", fileName));
}

} // namespace caraway
