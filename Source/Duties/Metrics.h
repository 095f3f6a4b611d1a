#pragma once

#include "Core/Metric.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <string>
#include <utility>

namespace caraway {

/// The metrics since the start of the process, rendered in the Prometheus text format.
class Metrics
{
public:
    void observe(const Sample &sample);
    /// Renders all counters and summaries; each line ends with a line feed.
    std::string render() const;

private:
    using Distribution = boost::accumulators::accumulator_set<
            double,
            boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::sum,
                                       boost::accumulators::tag::extended_p_square>>;
    using Key = std::pair<Metric, std::string>;

    std::map<Key, double> counters_;
    std::map<Key, Distribution> distributions_;
};

} // namespace caraway
