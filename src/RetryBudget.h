/// @file Bound on extra messages, in proportion to useful ones.
#pragma once

#include <algorithm>

namespace Camphor {

/// A token bucket that each success fills by a fraction of a token. Used for retries (10% of the
/// successes of a service) and for hedges (2% of all starts).
class RetryBudget
{
public:
    /// @param ratio tokens for each success. @param initial lets a service with few tasks retry.
    explicit RetryBudget(double ratio, double initial = 3, double most = 50)
        : m_ratio(ratio)
        , m_most(most)
        , m_tokens(initial)
    {
    }

    void earn() { m_tokens = std::min(m_tokens + m_ratio, m_most); }
    [[nodiscard]] bool canSpend() const { return m_tokens >= 1; }
    void spend() { m_tokens -= 1; }
    [[nodiscard]] double tokens() const { return m_tokens; }

private:
    double m_ratio;
    double m_most;
    double m_tokens;
};

} // namespace Camphor
