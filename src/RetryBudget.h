/// @file Limit on extra attempts in proportion to useful ones.
#pragma once

#include <algorithm>

namespace Camphor {

/// A token bucket to which each success adds a fraction of a token. Used for retries (10% of the
/// successes of a service) and for hedges (2% of all starts).
class RetryBudget
{
public:
    /// @param ratio tokens per success. @param initial tokens, so that a service with few tasks can
    /// retry.
    explicit RetryBudget(double ratio, double initial = 3, double maxTokens = 50)
        : m_ratio(ratio)
        , m_maxTokens(maxTokens)
        , m_tokens(initial)
    {
    }

    void earn() { m_tokens = std::min(m_tokens + m_ratio, m_maxTokens); }
    [[nodiscard]] bool canSpend() const { return m_tokens >= 1; }
    void spend() { m_tokens -= 1; }
    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    double m_ratio;
    double m_maxTokens;
    double m_tokens;
};

} // namespace Camphor
