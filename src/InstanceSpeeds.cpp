#include "InstanceSpeeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <ranges>

namespace Camphor {

namespace {

constexpr double square(double value) { return value * value; }

/// Variances of logarithms of run times. Instances differ by a factor of up to about 1.6 from the
/// fleet; declared times are off by about 40%; tasks of one step differ by about 15%.
constexpr double InstanceVariance = square(0.4);
constexpr double DeclaredVariance = square(0.4);
constexpr double TaskVariance = square(0.15);
/// Growth of the variance of an estimate, so that an instance that has changed is noticed.
constexpr double DriftVariancePerSecond = square(0.02);
/// One run moves an estimate by a factor of two at most. A run that was disturbed takes far longer,
/// which InstanceHealth handles.
constexpr double MaxResidual = 0.7;

/// The runs of a step on one instance.
struct Observation
{
    std::string instance;
    double sum = 0; ///< Of the logarithms of the ratios.
    int runs = 0;

    [[nodiscard]] double mean() const { return sum / runs; }
    [[nodiscard]] double variance() const { return TaskVariance / runs; }
};

std::vector<Observation> groupByInstance(const std::vector<SpeedSample> &samples)
{
    std::map<std::string, Observation> groups;
    for (const auto &[instance, ratio] : samples) {
        if (!std::isfinite(ratio) || ratio <= 0)
            continue;
        auto &group = groups[instance];
        group.instance = instance;
        group.sum += std::log(ratio);
        ++group.runs;
    }
    std::vector<Observation> observations;
    std::ranges::copy(groups | std::views::values, std::back_inserter(observations));
    return observations;
}

} // namespace

InstanceSpeeds::Record InstanceSpeeds::current(const std::string &instance, Milliseconds now) const
{
    const auto it = m_records.find(instance);
    if (it == m_records.end())
        return {0, InstanceVariance, now};
    constexpr double MsPerSecond = 1'000;
    const auto seconds = (now - it->second.updatedAt).count() / MsPerSecond;
    const auto variance = it->second.variance + DriftVariancePerSecond * std::max(0.0, seconds);
    return {it->second.mean, std::min(variance, InstanceVariance), now};
}

void InstanceSpeeds::addStep(const std::vector<SpeedSample> &samples, Milliseconds now)
{
    const auto observations = groupByInstance(samples);
    std::vector<Record> records;
    std::ranges::transform(observations, std::back_inserter(records),
                           [&](const Observation &it) { return current(it.instance, now); });
    // The factor by which the declared time is off, from all runs: the sum of the estimates of each
    // instance, weighted by their precision, beside the one that it is right.
    std::vector<double> precisions;
    std::vector<double> weighted;
    for (std::size_t n = 0; n < observations.size(); ++n) {
        precisions.push_back(1.0 / (observations[n].variance() + records[n].variance));
        weighted.push_back(precisions[n] * (observations[n].mean() - records[n].mean));
    }
    const auto precision =
        std::accumulate(precisions.begin(), precisions.end(), 1.0 / DeclaredVariance);
    const auto sum = std::accumulate(weighted.begin(), weighted.end(), 0.0);
    for (std::size_t n = 0; n < observations.size(); ++n) {
        // An instance's own runs say nothing about how far the declared time is off for them.
        const auto otherPrecision = precision - precisions[n];
        const auto declaredError = (sum - weighted[n]) / otherPrecision;
        auto record = records[n];
        const auto residual = std::clamp(observations[n].mean() - declaredError - record.mean,
                                         -MaxResidual, MaxResidual);
        const auto noise = observations[n].variance() + 1.0 / otherPrecision;
        const auto gain = record.variance / (record.variance + noise);
        record.mean += gain * residual;
        record.variance *= 1.0 - gain;
        m_records[observations[n].instance] = record;
    }
}

double InstanceSpeeds::factor(const std::string &instance) const
{
    const auto it = m_records.find(instance);
    return it == m_records.end() ? 1.0 : std::exp(it->second.mean);
}

SpeedRange InstanceSpeeds::range() const
{
    if (m_records.empty())
        return {};
    std::vector<double> factors;
    std::ranges::transform(m_records, std::back_inserter(factors),
                           [](const auto &it) { return std::exp(it.second.mean); });
    std::ranges::sort(factors);
    return {factors.front(), factors[factors.size() / 2], factors.back()};
}

} // namespace Camphor
