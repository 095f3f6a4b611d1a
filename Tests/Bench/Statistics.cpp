#include "Bench/Statistics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace caraway::bench {

namespace {

namespace acc = boost::accumulators;

auto accumulate(const std::vector<double> &values)
{
    acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>> set;
    for (const double value : values)
        set(value);
    return set;
}

} // namespace

double Statistics::mean() const
{
    return values_.empty() ? 0 : acc::mean(accumulate(values_));
}

double Statistics::standardDeviation() const
{
    return values_.size() < 2 ? 0 : std::sqrt(acc::variance(accumulate(values_)));
}

double Statistics::quantile(double quantile) const
{
    if (values_.empty())
        return 0;
    std::vector<double> sorted = values_;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto position = static_cast<std::ptrdiff_t>(std::ceil(last * quantile));
    std::nth_element(sorted.begin(), sorted.begin() + position, sorted.end());
    return sorted[static_cast<std::size_t>(position)];
}

std::string Statistics::meanAndSpread(int digits, double factor) const
{
    return fmt::format("{:.{}f} ± {:.{}f}", mean() * factor, digits, standardDeviation() * factor,
                       digits);
}

} // namespace caraway::bench
