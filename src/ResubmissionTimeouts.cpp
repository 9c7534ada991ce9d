#include "ResubmissionTimeouts.h"

#include <algorithm>

namespace Camphor {

namespace {

/// Shares of the time after which callers resend.
constexpr double HolderTimeoutShare = 0.46;
constexpr double RequesterTimeoutShare = 0.54;
constexpr double RequestAgeShare = 0.23;
constexpr double RenewalTimeoutShare = 0.75;
constexpr double LeaseOfResendShare = 0.62;
/// Share of the longest lease that is requested, because the instance's clock may be ahead of the
/// estimate.
constexpr double LeaseShare = 0.9;

} // namespace

ResubmissionTimeouts::ResubmissionTimeouts(const ResubmissionSettings &settings)
    : m_holderTimeout(settings.resendAfter * HolderTimeoutShare)
    , m_requesterTimeout(settings.resendAfter * RequesterTimeoutShare)
    , m_maxRequestAge(settings.resendAfter * RequestAgeShare)
    , m_renewalTimeout(settings.resendAfter * RenewalTimeoutShare)
    , m_lease(std::min(settings.maxLease * LeaseShare, settings.resendAfter * LeaseOfResendShare))
    , m_clockDrift(settings.clockDrift)
{
}

Result<ResubmissionTimeouts> ResubmissionTimeouts::make(const ResubmissionSettings &settings)
{
    ResubmissionTimeouts timeouts(settings);
    if (timeouts.latestRunEnd() >= settings.resendAfter)
        return Error{ErrorCode::InvalidSettings,
                     "runs could last until their callers send the job again"};
    return timeouts;
}

Milliseconds ResubmissionTimeouts::latestRunEnd() const
{
    return m_maxRequestAge + std::max(m_renewalTimeout, m_lease / (1.0 - m_clockDrift));
}

} // namespace Camphor
