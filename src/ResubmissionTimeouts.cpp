#include "ResubmissionTimeouts.h"

#include <algorithm>

namespace Camphor {

namespace {

/// Shares of the time after which callers resend.
constexpr double HolderTimeoutShare = 0.46;
constexpr double RequesterTimeoutShare = 0.54;
constexpr double RequestAgeShare = 0.23;
constexpr double RenewalTimeoutShare = 0.75;
constexpr double LeaseTimeoutShare = 0.62;
constexpr double PingPeriodShare = 0.16;
constexpr double PauseThresholdShare = 0.4;
/// Share of the lease. A hold renews the lease only when it is sent, so several must fit into one.
constexpr double HoldWaitOfLeaseShare = 0.2;
/// Upper bounds, however late callers resend, so that lost contacts, pauses and ends are noticed
/// soon.
constexpr Milliseconds MaxPingPeriod{200};
constexpr Milliseconds MaxPauseThreshold{500};
constexpr Milliseconds MaxHoldWait{150};
/// Share of the longest lease that is requested, because the instance's clock may be ahead of the
/// estimate.
constexpr double MaxLeaseShare = 0.9;

} // namespace

ResubmissionTimeouts::ResubmissionTimeouts(const ResubmissionSettings &settings)
    : m_holderTimeout(settings.resendAfter * HolderTimeoutShare)
    , m_requesterTimeout(settings.resendAfter * RequesterTimeoutShare)
    , m_maxRequestAge(settings.resendAfter * RequestAgeShare)
    , m_renewalTimeout(settings.resendAfter * RenewalTimeoutShare)
    , m_pingPeriod(std::min(MaxPingPeriod, settings.resendAfter * PingPeriodShare))
    , m_pauseThreshold(std::min(MaxPauseThreshold, settings.resendAfter * PauseThresholdShare))
    , m_lease(std::min(settings.maxLease * MaxLeaseShare, settings.resendAfter * LeaseTimeoutShare))
    , m_holdWait(std::min(MaxHoldWait, m_lease * HoldWaitOfLeaseShare))
    , m_clockDrift(settings.clockDrift)
{
}

Result<ResubmissionTimeouts> ResubmissionTimeouts::make(const ResubmissionSettings &settings)
{
    ResubmissionTimeouts timeouts(settings);
    if (timeouts.longestRunAfterRequester() >= settings.resendAfter)
        return Error{ErrorCode::InvalidSettings,
                     "runs could last until their callers send the job again"};
    return timeouts;
}

Milliseconds ResubmissionTimeouts::longestRunAfterRequester() const
{
    return m_maxRequestAge + std::max(m_renewalTimeout, m_lease / (1.0 - m_clockDrift));
}

} // namespace Camphor
