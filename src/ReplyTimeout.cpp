#include "ReplyTimeout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Camphor {

namespace {

/// Weights of a new sample, as in RFC 6298.
constexpr double SmoothedWeight = 0.125;
constexpr double DeviationWeight = 0.25;
constexpr double DeviationFactor = 4.0;

} // namespace

void ReplyTimeout::addReply(Milliseconds elapsed)
{
    if (!std::exchange(m_hasSample, true)) {
        m_smoothed = elapsed;
        m_deviation = elapsed / 2.0;
        return;
    }
    const Milliseconds difference{std::abs((elapsed - m_smoothed).count())};
    m_deviation += (difference - m_deviation) * DeviationWeight;
    m_smoothed += (elapsed - m_smoothed) * SmoothedWeight;
}

Milliseconds ReplyTimeout::timeout() const
{
    if (!m_hasSample)
        return m_settings.maxTimeout;
    return std::clamp(m_smoothed + m_deviation * DeviationFactor, m_settings.minTimeout,
                      m_settings.maxTimeout);
}

} // namespace Camphor
