/// @file Run time statistics of one service.
#pragma once

#include "Time.h"

#include <array>
#include <cstdint>

namespace Camphor {

/// Quantiles of a decaying histogram with logarithmic buckets. The declared run time is a prior
/// that weighs as much as a few samples, so that a declaration that is wrong by a factor of ten has
/// little effect after some tens of tasks.
class RunTimeEstimator
{
public:
    explicit RunTimeEstimator(Milliseconds prior);

    void add(Milliseconds runTime);
    /// Replaces the prior and retains the samples.
    void setPrior(Milliseconds prior);

    /// The run time that the given share of the tasks does not exceed. @param share from 0 to 1.
    [[nodiscard]] Milliseconds quantile(double share) const;
    [[nodiscard]] Milliseconds mean() const { return m_mean; }
    [[nodiscard]] Milliseconds median() const { return m_median; }
    [[nodiscard]] Milliseconds p95() const { return m_p95; }
    /// The shortest run time to expect; 0 until there are enough samples.
    [[nodiscard]] Milliseconds minimum() const { return m_minimum; }
    /// Whether the samples clearly outweigh the prior.
    [[nodiscard]] bool isLearned() const { return m_samples >= LearnedSamples; }

private:
    static constexpr int BucketCount = 170;
    static constexpr double PriorWeight = 4;
    static constexpr double LearnedSamples = 20;

    void refresh();

    Milliseconds m_prior;
    std::array<float, BucketCount> m_buckets{};
    double m_samples = 0; ///< Decayed count.
    double m_sum = 0; ///< Decayed sum in ms.
    std::uint32_t m_sinceRefresh = 0;
    Milliseconds m_mean;
    Milliseconds m_median;
    Milliseconds m_p95;
    Milliseconds m_minimum;
};

} // namespace Camphor
