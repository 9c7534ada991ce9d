#include "RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace Camphor {

namespace {

/// Ratio of adjacent buckets; limits the error of a quantile to 5%.
constexpr double BucketRatio = 1.1;
constexpr double FirstBucketMs = 0.1;
/// Samples after which all counts are halved, so that a change of the run times shows within about
/// as many samples.
constexpr double DecaySamples = 1000;

int bucketOf(double ms, int count)
{
    if (!(ms > FirstBucketMs))
        return 0;
    static const double Scale = 1.0 / std::log(BucketRatio);
    return std::min(static_cast<int>(std::log(ms / FirstBucketMs) * Scale), count - 1);
}

double middleOf(int bucket) { return FirstBucketMs * std::pow(BucketRatio, bucket + 0.5); }

} // namespace

RunTimeEstimator::RunTimeEstimator(Milliseconds prior)
    : m_prior(prior)
{
    refresh();
}

void RunTimeEstimator::add(Milliseconds runTime)
{
    const auto ms = std::max(runTime.count(), 0.0);
    m_buckets[static_cast<std::size_t>(bucketOf(ms, BucketCount))] += 1;
    m_samples += 1;
    m_sum += ms;
    if (m_samples >= DecaySamples) {
        std::ranges::for_each(m_buckets, [](float &it) { it /= 2; });
        m_samples /= 2;
        m_sum /= 2;
    }
    // Scanning all buckets for each sample would cost more than the rest of a scheduling step.
    if (++m_sinceRefresh >= 16 || m_samples < LearnedSamples + 1)
        refresh();
}

void RunTimeEstimator::setPrior(Milliseconds prior)
{
    m_prior = prior;
    refresh();
}

Milliseconds RunTimeEstimator::quantile(double share) const
{
    const auto priorBucket = bucketOf(m_prior.count(), BucketCount);
    const auto wantedWeight = share * (m_samples + PriorWeight);
    double cumulativeWeight = 0;
    for (int n = 0; n < BucketCount; ++n) {
        const double before = cumulativeWeight;
        cumulativeWeight += static_cast<double>(m_buckets[static_cast<std::size_t>(n)])
            + (n == priorBucket ? PriorWeight : 0);
        if (cumulativeWeight >= wantedWeight && cumulativeWeight > before)
            return Milliseconds{middleOf(n)};
    }
    return m_prior;
}

void RunTimeEstimator::refresh()
{
    m_sinceRefresh = 0;
    m_mean = Milliseconds{(m_sum + m_prior.count() * PriorWeight) / (m_samples + PriorWeight)};
    m_median = quantile(0.5);
    m_p95 = quantile(0.95);
    m_minimum = Milliseconds{0};
    if (!isLearned())
        return;
    const auto first = std::ranges::find_if(m_buckets, [](float it) { return it >= 0.5F; });
    if (first != m_buckets.end())
        m_minimum = Milliseconds{
            FirstBucketMs * std::pow(BucketRatio, static_cast<double>(first - m_buckets.begin()))};
}

} // namespace Camphor
