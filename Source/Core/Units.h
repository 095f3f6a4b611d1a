#pragma once

#include <compare>
#include <cstdint>

namespace caraway {

/// A whole number of units. Quantities of different units are distinct types.
template<class Unit>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t count)
        : count_(count)
    {
    }

    constexpr std::int64_t count() const { return count_; }

    constexpr Quantity &operator+=(Quantity other)
    {
        count_ += other.count_;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        count_ -= other.count_;
        return *this;
    }

    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
    friend constexpr Quantity operator*(Quantity a, std::int64_t n)
    {
        return Quantity(a.count_ * n);
    }
    friend constexpr Quantity operator/(Quantity a, std::int64_t n)
    {
        return Quantity(a.count_ / n);
    }
    friend constexpr auto operator<=>(Quantity, Quantity) = default;

private:
    std::int64_t count_ = 0;
};

using Milliseconds = Quantity<struct MillisecondsUnit>;
/// For processor time, of which one decision takes less than a millisecond.
using Microseconds = Quantity<struct MicrosecondsUnit>;
/// Thousandths of a processor core.
using Millicores = Quantity<struct MillicoresUnit>;
using Bytes = Quantity<struct BytesUnit>;
using Accelerators = Quantity<struct AcceleratorsUnit>;
using Percent = Quantity<struct PercentUnit>;
using Slots = Quantity<struct SlotsUnit>;

} // namespace caraway
