#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace caraway::bench {

/// Values of one measure, kept whole.
class Statistics
{
public:
    void add(double value) { values_.push_back(value); }
    std::size_t count() const { return values_.size(); }
    double mean() const;
    double standardDeviation() const;
    /// The value that the part \a quantile of all values does not exceed; 0 of none.
    double quantile(double quantile) const;
    /// Mean and standard deviation as text, each times \a factor.
    std::string meanAndSpread(int digits, double factor = 1) const;

private:
    std::vector<double> values_;
};

} // namespace caraway::bench
