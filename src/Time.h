/// @file The clock types of the project. All durations and instants are in milliseconds.
#pragma once

#include <compare>

namespace Camphor {

/// A duration, or an instant of the monotonic clock, in milliseconds. Fractions are stored, because
/// a network round trip in a cluster is shorter than one millisecond.
class Milliseconds
{
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(double count)
        : m_count(count)
    {
    }

    /// Returns the value in milliseconds.
    [[nodiscard]] constexpr double count() const { return m_count; }

    constexpr auto operator<=>(const Milliseconds &) const = default;

    constexpr Milliseconds operator+(Milliseconds other) const
    {
        return Milliseconds{m_count + other.m_count};
    }
    constexpr Milliseconds operator-(Milliseconds other) const
    {
        return Milliseconds{m_count - other.m_count};
    }
    constexpr Milliseconds operator*(double factor) const { return Milliseconds{m_count * factor}; }
    constexpr Milliseconds operator/(double divisor) const
    {
        return Milliseconds{m_count / divisor};
    }
    constexpr Milliseconds &operator+=(Milliseconds other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Milliseconds &operator-=(Milliseconds other)
    {
        m_count -= other.m_count;
        return *this;
    }

private:
    double m_count = 0;
};

namespace Literals {
constexpr Milliseconds operator""_ms(unsigned long long count)
{
    return Milliseconds{static_cast<double>(count)};
}
constexpr Milliseconds operator""_ms(long double count)
{
    return Milliseconds{static_cast<double>(count)};
}
constexpr Milliseconds operator""_s(unsigned long long count)
{
    return Milliseconds{static_cast<double>(count) * 1000.0};
}
} // namespace Literals

/// Source of the current instant. Decision modules get the instant as an argument instead.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Returns the milliseconds since an arbitrary fixed instant; never goes backwards.
    [[nodiscard]] virtual Milliseconds now() const = 0;
};

/// The monotonic clock of the machine.
class SteadyClock : public Clock
{
public:
    [[nodiscard]] Milliseconds now() const override;
};

/// A clock that tests set by hand.
class ManualClock : public Clock
{
public:
    [[nodiscard]] Milliseconds now() const override { return m_now; }

    void advance(Milliseconds step) { m_now += step; }

private:
    Milliseconds m_now;
};

/// Returns the wall-clock time in milliseconds since the Unix epoch. Use it only for times that are
/// compared across processes or restarts, such as issue times of tickets, the order of an
/// instance's restarts, and log lines; never for leases or timeouts.
[[nodiscard]] double wallClockMs();

} // namespace Camphor
