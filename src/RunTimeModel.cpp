#include "RunTimeModel.h"

#include <algorithm>

namespace Camphor {

namespace {

/// Minimum weight of a new sample in the moving averages.
constexpr double MinSampleWeight = 0.03;
/// The declared time alone is used until this many runs were measured.
constexpr int MinSamples = 10;
/// Share of the declared time in the estimate. Declared times are off by about 40%, as is the mean
/// of the queue for a single job, so each corrects the other.
constexpr double DeclaredShare = 0.5;

} // namespace

void RunTimeModel::addSample(const std::string &queue, Milliseconds declared, Milliseconds measured)
{
    auto &record = m_records[queue];
    const auto weight = std::max(MinSampleWeight, 1.0 / (record.samples + 1));
    const auto ratio = measured.count() / std::max(1.0, declared.count());
    record.ratio += (ratio - record.ratio) * weight;
    record.mean += (measured.count() - record.mean) * weight;
    ++record.samples;
}

Milliseconds RunTimeModel::estimate(const std::string &queue, Milliseconds declared) const
{
    const auto it = m_records.find(queue);
    if (it == m_records.end() || it->second.samples < MinSamples)
        return declared;
    const auto &record = it->second;
    return Milliseconds{DeclaredShare * declared.count() * record.ratio
                        + (1.0 - DeclaredShare) * record.mean};
}

} // namespace Camphor
